package coordination

import (
	"brasskeel/internal/coordination/limits"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/coordination/quarantine"
	"brasskeel/internal/coordination/sessions"
)

// acceptsTasks reports whether a machine accepts new tasks: its worker has registered with this
// leader and was reached by it, the machine is recorded, of a known type, in service and not about
// to be preempted, the latest probe of its worker didn't fail, and neither messages of the worker
// nor answers to its heartbeats are overdue. A worker that answers calls but whose heartbeats don't
// arrive terminates all its tasks when its lease expires.
func (l *leader) acceptsTasks(m *machine) bool {
	if !m.session.Registered || m.session.LastReached.IsZero() || !m.recorded || m.Spec == nil || !m.lifecycle.inService() ||
		m.lifecycle.preemptionNoticed() || m.session.FailedProbes != 0 {
		return false
	}
	suspectAfter := l.controller.timing().SuspectAfter()
	return l.controller.now.Sub(m.session.LastSeen) <= suspectAfter && l.unansweredFor(m) <= suspectAfter+sessions.LostHeartbeatDelay
}

// imageID returns the number of an image, which is valid for this leader's term.
func (l *leader) imageID(name string) placement.ImageID {
	id, ok := l.imageIDs[name]
	if !ok {
		id = placement.ImageID(len(l.imageIDs))
		l.imageIDs[name] = id
	}
	return id
}

// placementTask returns the description of the job's tasks for package placement.
func (j *job) placementTask() placement.Task { return placement.Task{Job: j.Job, Image: j.imageID} }

// shapeKeyOf returns the key of a job's shape. It is computed once, as every scan of the fleet
// looks it up.
func shapeKeyOf(j *job) placement.ShapeKey {
	if j.shapeKey == (placement.ShapeKey{}) {
		j.shapeKey = placement.ShapeKeyOf(j.Job)
	}
	return j.shapeKey
}

// scoreWeights returns the score weights that the operator has set.
func (l *leader) scoreWeights() placement.Weights {
	return placement.Weights{Image: l.controller.operator.ImageCacheWeight, Room: l.controller.operator.FreeShareWeight}
}

// findCandidates returns the machines that a job's tasks may be placed on now, except that it doesn't
// check the job's zone rules; bestMachine does.
func (l *leader) findCandidates(j *job) placement.Candidates {
	l.round.candidates = l.round.candidates[:0]
	l.round.ceilingPolicy = l.rebalancer.ceilingPolicy(j)
	s := placement.ShapeOf(j.Job)
	// A shape that is at least as large as one with the same restrictions that found no room
	// won't find any either. No task is placed while too many records wait to be written.
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
			continue // its task would soon be evicted again
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

// canTakeTask reports whether a machine that accepts tasks may take one more task of a job. It
// doesn't check the job's zone rules.
func (l *leader) canTakeTask(m *machine, j *job) bool {
	if !m.FitsInHeartbeat(j.Job) {
		l.controller.limits.Reached(limits.TasksPerMachine)
	}
	return m.HasRoom(j.Job) && m.Allows(j.Job) && !l.avoidsMachine(j, m)
}

// avoidsMachine reports whether a job avoids a machine on which it failed. Once its tasks have
// failed on quarantine.MachineThreshold machines, the job is considered the cause and avoids none.
func (l *leader) avoidsMachine(j *job, m *machine) bool {
	return m.failuresByJob[j.ID] > 0 && j.history.Machines() < quarantine.MachineThreshold
}

// bestMachine returns the best candidate that a job's zone rules allow, or nil, and drops the better
// ones that they don't allow. Machines that are being consolidated come after all others.
func (l *leader) bestMachine(c *placement.Candidates, j *job) *machine {
	for k := c.Best(); k != nil; k = c.Best() {
		if m := l.round.withRoom[k.Machine]; j.zoneAllowed(m.Zone) {
			return m
		}
		// Further placements in this round can't make the zone allowed again.
		c.DropBest()
	}
	return nil
}

// rerankBest updates the rank of the best machine after a task was placed on it, or drops the machine
// if no further task of the job fits there.
func (l *leader) rerankBest(c *placement.Candidates, j *job) {
	k := c.Best()
	m := l.round.withRoom[k.Machine]
	if !l.canTakeTask(m, j) {
		c.DropBest()
		return
	}
	c.UpdateBest(l.scoreCandidate(m, j, k.Machine))
}

// scoreCandidate ranks a machine for a job. index is the machine's index in round.withRoom.
func (l *leader) scoreCandidate(m *machine, j *job, index int32) placement.Candidate {
	k := placement.Candidate{Machine: index, Consolidating: m.Consolidating, Score: l.scoreWeights().Score(&m.Machine, j.placementTask()),
		FreeCPUs: m.Spec.CPUs - m.Allocated.CPUs}
	if l.round.ceilingPolicy != nil {
		l.rebalancer.applyCeilingPolicy(l.round.ceilingPolicy, m, &k)
	}
	return k
}
