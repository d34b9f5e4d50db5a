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

// job is an unfinished job as this leader, or the owner of a shard, knows it.
type job struct {
	*protocol.Job
	submitted time.Time
	blockSize int          // tasks per block
	blocks    []*taskBlock // made on first use

	// How it ends.
	finalState protocol.JobState // that is recorded; 0 while there is none
	finishing  bool              // the outcome "done" is being written
	removed    bool              // its records are being removed

	// Its tasks. Pending are those in retryQueue, and all from firstUnstarted on.
	doneTasks      int
	runningTasks   int
	liveAttempts   int // not proven gone
	retryQueue     []int
	firstUnstarted int              // first task that was never started
	attemptsByZone map[string]int   // live attempts by zone
	runTimes       balance.RunTimes // of completed tasks

	// How it is served.
	quota              quotaStatus
	history            quarantine.History // of its failures
	backoffUntil       time.Time          // until which no task of it is started
	preemptionTimerSet bool               // the end of its preemption delay has a timer
	ceiling            ceilingWait        // of its team's surge

	imageID  placement.ImageID
	shapeKey placement.ShapeKey // made on first use

	progressBroadcast bool // peers were told of tasks that run or are done

	// heldAttempts are the attempts that a shard's owner holds; a leader has them in blocks.
	heldAttempts map[*attempt]struct{}
}

// quotaStatus is how a job stands to its team's quota, as of when it came.
type quotaStatus uint8

const (
	quotaUnchecked quotaStatus = iota
	quotaWithin
	quotaExceeded
)

// withinQuota reports whether a job came within its team's quota.
func (j *job) withinQuota() bool { return j.quota == quotaWithin }

// jobRecorded implements observer.
func (l *leader) jobRecorded(id string, value json.RawMessage, live bool) {
	var r records.Job
	if err := protocol.Decode(value, &r); err != nil || r.Spec == nil || r.BlockSize <= 0 || r.Spec.Tasks <= 0 {
		l.controller.log.Error("job record unreadable", "job", id, "error", err)
		return
	}
	l.addJob(&r)
	if live {
		// Its record took a change, too: where users submit many jobs a second, the
		// leader's own records leave them what the state service takes.
		l.writer.committer.Spend(1)
		l.requestPlacement()
	}
}

// jobEnded implements observer.
func (l *leader) jobEnded(j *job, s protocol.JobState) { l.endJob(j, s) }

// jobRemoved implements observer: the leader removes records itself.
func (l *leader) jobRemoved(string) {}

// addJob takes in a job that is on record, if it isn't known yet.
func (l *leader) addJob(r *records.Job) {
	if l.jobs[r.Spec.ID] != nil {
		return
	}
	j := &job{Job: r.Spec, submitted: time.UnixMilli(r.SubmittedAt), blockSize: r.BlockSize, attemptsByZone: map[string]int{},
		imageID: l.imageID(r.Spec.Image)}
	j.blocks = make([]*taskBlock, (j.Tasks+j.blockSize-1)/j.blockSize)
	l.jobs[j.ID] = j
	if !j.AllowSpot && j.Kind == protocol.Service {
		l.autoscaler.largestOnDemandCPUs = max(l.autoscaler.largestOnDemandCPUs, j.CPUs*float64(j.Tasks))
	}
	at := len(l.jobsByAge)
	for at > 0 && l.jobsByAge[at-1].submitted.After(j.submitted) {
		at--
	}
	l.jobsByAge = slices.Insert(l.jobsByAge, at, j)
	if f, ok := l.controller.admission.outcomes[j.ID]; ok {
		l.endJob(j, f.state)
	}
}
