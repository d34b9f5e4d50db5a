package coordination

import (
	"encoding/json"
	"slices"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// jobRecorded implements observer.
func (l *leader) jobRecorded(id string, value json.RawMessage, live bool) {
	var r records.Job
	if err := protocol.Decode(value, &r); err != nil || r.Spec == nil || r.Chunk <= 0 || r.Spec.Tasks <= 0 {
		l.controller.log.Error("unreadable job record", "job", id, "error", err)
		return
	}
	l.addJob(&r)
	if live {
		// Its record took a change, too: where users submit many jobs a second, the
		// leader's own records leave them what the state service takes.
		l.journal.budget.Spend(l.controller.now, 1)
		l.requestPlacement()
	}
}

// jobEnded implements observer.
func (l *leader) jobEnded(j *job, s protocol.JobState) { l.endJob(j, s) }

// jobRemoved implements observer: the leader removes records itself.
func (l *leader) jobRemoved(string) {}

func (l *leader) addJob(r *records.Job) {
	if l.jobs[r.Spec.ID] != nil {
		return
	}
	j := &job{Job: r.Spec, submitted: time.UnixMilli(r.Submitted), chunkSize: r.Chunk, zones: map[string]int{},
		imageID: l.imageID(r.Spec.Image)}
	j.chunks = make([]*chunk, (j.Tasks+j.chunkSize-1)/j.chunkSize)
	l.jobs[j.ID] = j
	if !j.AllowSpot && j.Kind == protocol.Service {
		l.autoscaler.largestOnDemand = max(l.autoscaler.largestOnDemand, j.CPUs*float64(j.Tasks))
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
