package coordination

import (
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/quarantine"
	"brasskeel/internal/coordination/sessions"
)

// acceptsTasks reports whether a machine takes new tasks: it has reported to this
// leader and been reached by it, is not on its way out, and isn't silent. One whose heartbeats don't come
// while it answers calls loses all that runs there once its lease is over.
func (l *leader) acceptsTasks(m *machine) bool {
	if !m.session.Registered || m.session.LastReached.IsZero() || !m.recorded || m.Spec == nil || !m.lifecycle.inService() ||
		m.lifecycle.preemptionNoticed() || m.session.FailedProbes != 0 {
		return false
	}
	suspectAfter := l.controller.timing().SuspectAfter()
	return l.controller.now.Sub(m.session.LastSeen) <= suspectAfter && l.unansweredFor(m) <= suspectAfter+sessions.LostHeartbeatDelay
}

// imageID numbers an image for this leadership.
func (l *leader) imageID(name string) placement.ImageID {
	id, ok := l.imageIDs[name]
	if !ok {
		id = placement.ImageID(len(l.imageIDs))
		l.imageIDs[name] = id
	}
	return id
}

// placementTask is what placement knows of a job's tasks.
func (j *job) placementTask() placement.Task { return placement.Task{Job: j.Job, Image: j.imageID} }

// shapeKeyOf makes the key of a job's shape once: it is looked up for each look at the fleet.
func shapeKeyOf(j *job) placement.ShapeKey {
	if j.shapeKey == (placement.ShapeKey{}) {
		j.shapeKey = placement.ShapeKeyOf(j.Job)
	}
	return j.shapeKey
}

// scoreWeights are those that operators set.
func (l *leader) scoreWeights() placement.Weights {
	return placement.Weights{Image: l.controller.operator.ImageWeight, Room: l.controller.operator.RoomWeight}
}

// findCandidates finds the machines that a job's tasks may be placed on now.
func (l *leader) findCandidates(j *job) placement.Candidates {
	l.round.candidates = l.round.candidates[:0]
	l.round.ceilingPolicy = l.rebalancer.ceilingPolicy(j)
	s := placement.ShapeOf(j.Job)
	// Where nothing found room before, nothing of the same kind and size will, and
	// while enough waits to be recorded, nothing is to be placed.
	if l.writer.saturated() || s.KnownNotToFit(l.round.unplaceable) {
		return placement.Candidates{}
	}
	l.round.examined += len(l.round.withRoom)
	room := false
	for i, m := range l.round.withRoom {
		if !m.HasRoom(j.Job) || !m.Allows(j.Job) {
			continue
		}
		room = true
		if m.Consolidating && j.CheckpointInterval > 0 && l.overpriced(j, m.offer()) {
			continue // it would soon have to leave again
		}
		if !l.avoidsMachine(j, m) {
			l.round.candidates = append(l.round.candidates, l.scoreCandidate(m, j, int32(i)))
		}
	}
	if !room {
		l.round.unplaceable = append(l.round.unplaceable, s)
	}
	return placement.NewCandidates(l.round.candidates)
}

// canTakeTask reports whether an open machine may take one more task of a job, zones
// aside.
func (l *leader) canTakeTask(m *machine, j *job) bool {
	if !m.FitsInReport(j.Job) {
		l.controller.limits.Reached(limits.TasksPerMachine)
	}
	return m.HasRoom(j.Job) && m.Allows(j.Job) && !l.avoidsMachine(j, m)
}

// avoidsMachine reports whether a job stays away from a machine that failed it.
func (l *leader) avoidsMachine(j *job, m *machine) bool {
	return m.failuresByJob[j.ID] > 0 && j.history.Machines() < quarantine.MachineThreshold
}

// bestMachine is the machine with the highest score that a job's rules about zones allow, nil
// without any. Machines that are being emptied come only after all others.
func (l *leader) bestMachine(c *placement.Candidates, j *job) *machine {
	for k := c.Best(); k != nil; k = c.Best() {
		if m := l.round.withRoom[k.Machine]; j.zoneAllowed(m.Zone) {
			return m
		}
		// What is placed meanwhile opens no zone to the job again.
		c.DropBest()
	}
	return nil
}

// rerankBest looks anew at the best machine after it was given a task.
func (l *leader) rerankBest(c *placement.Candidates, j *job) {
	k := c.Best()
	m := l.round.withRoom[k.Machine]
	if !l.canTakeTask(m, j) {
		c.DropBest()
		return
	}
	c.UpdateBest(l.scoreCandidate(m, j, k.Machine))
}

// scoreCandidate gives what ranks a machine, by its place among those with room, for a job.
func (l *leader) scoreCandidate(m *machine, j *job, place int32) placement.Candidate {
	k := placement.Candidate{Machine: place, LastResort: m.Consolidating, Score: l.scoreWeights().Score(&m.Machine, j.placementTask()),
		FreeCPUs: m.Spec.CPUs - m.Allocated.CPUs}
	if l.round.ceilingPolicy != nil {
		l.rebalancer.applyCeilingPolicy(l.round.ceilingPolicy, m, &k)
	}
	return k
}
