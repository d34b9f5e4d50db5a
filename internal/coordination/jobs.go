package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/quarantine"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// job is the in-memory state of a job whose record exists, kept by the leader or by the owner of a
// shard.
type job struct {
	*protocol.Job
	submitted time.Time
	blockSize int          // tasks per block
	blocks    []*taskBlock // created on first use

	// Completion.
	finalState protocol.JobState // the recorded outcome; 0 without one
	finishing  bool              // a write of the outcome "done" is queued or in flight
	deleting   bool              // deletion of its records is queued or in flight

	// Tasks. Pending tasks are those in retryQueue and all from firstUnstarted on.
	doneTasks      int
	runningTasks   int
	liveAttempts   int // attempts not proven terminated
	retryQueue     []int
	firstUnstarted int              // index of the first task that was never started
	attemptsByZone map[string]int   // live attempts by zone
	runTimes       balance.RunTimes // of completed tasks

	// Scheduling.
	quota              quotaStatus
	history            quarantine.History // of its failures
	backoffUntil       time.Time          // time before which no task is started
	preemptionTimerSet bool               // a timer is set for the end of its preemption delay
	ceiling            ceilingWait        // state of its wait for machines below the ceiling of its team's surge

	imageID  placement.ImageID
	shapeKey placement.ShapeKey // created on first use

	progressBroadcast bool // the latest broadcast of its progress showed running or done tasks

	// heldAttempts are the job's attempts at the owner of a shard; a leader keeps attempts in blocks.
	heldAttempts map[*attempt]struct{}
}

// quotaStatus says whether a job was within its team's quota when it first entered the queue.
type quotaStatus uint8

const (
	quotaUnchecked quotaStatus = iota
	quotaWithin
	quotaExceeded
)

// withinQuota reports whether the job was within its team's quota when it entered the queue.
func (j *job) withinQuota() bool { return j.quota == quotaWithin }

// jobRecorded implements sessionListener.
func (l *leader) jobRecorded(id string, value json.RawMessage, justWritten bool) {
	var r records.Job
	if err := protocol.Decode(value, &r); err != nil || r.Spec == nil || r.BlockSize <= 0 || r.Spec.Tasks <= 0 {
		l.controller.log.Error("job record unreadable", "job", id, "error", err)
		return
	}
	l.addJob(&r)
	if justWritten {
		// Writing the job's record used write capacity of the state service. Charging it to
		// the leader's write budget leaves capacity for users that submit many jobs per second.
		l.writer.committer.Spend(1)
		l.requestPlacement()
	}
}

// jobEnded implements sessionListener.
func (l *leader) jobEnded(j *job, s protocol.JobState) { l.endJob(j, s) }

// jobRemoved implements sessionListener. The leader ignores it, as it deletes job records itself.
func (l *leader) jobRemoved(string) {}

// addJob adds a recorded job, unless it is already known, and ends it if its outcome is cached.
func (l *leader) addJob(r *records.Job) {
	if l.jobs[r.Spec.ID] != nil {
		return
	}
	j := &job{Job: r.Spec, submitted: time.UnixMilli(r.SubmittedAt), blockSize: r.BlockSize, attemptsByZone: map[string]int{},
		imageID: l.imageID(r.Spec.Image)}
	j.blocks = make([]*taskBlock, (j.Tasks+j.blockSize-1)/j.blockSize)
	l.jobs[j.ID] = j
	if !j.AllowSpot && j.Kind == protocol.Service {
		l.autoscaler.largestOnDemandServiceCPUs = max(l.autoscaler.largestOnDemandServiceCPUs, j.CPUs*float64(j.Tasks))
	}
	at := len(l.jobsByAge)
	for at > 0 && l.jobsByAge[at-1].submitted.After(j.submitted) {
		at--
	}
	l.jobsByAge = slices.Insert(l.jobsByAge, at, j)
	if outcome, ok := l.controller.admission.outcomes[j.ID]; ok {
		l.endJob(j, outcome.state)
	}
}
