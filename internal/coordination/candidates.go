package coordination

import "brasskeel/internal/coordination/placement"

// open reports whether a machine takes new tasks: it has reported to this
// leader and been reached by it, is not on its way out, and isn't silent. One whose reports don't come
// while it answers calls loses all that runs there once its lease is over.
func (l *leader) open(m *machine) bool {
	return m.registered && !m.lastReached.IsZero() && m.recorded && m.Spec != nil && !m.draining && !m.releasing && m.preemptionAt.IsZero() && m.failedProbes == 0 &&
		l.controller.now.Sub(m.lastSeen) <= l.suspectAfter() && l.unansweredFor(m) <= l.suspectAfter()+lostHeartbeatDelay
}

// candidate and candidates are machines that may take tasks of a job.
type (
	candidate  = placement.Candidate
	candidates = placement.Candidates
)

// imageID numbers an image for this leadership.
func (l *leader) imageID(name string) placement.ImageID {
	id, ok := l.imageIDs[name]
	if !ok {
		id = placement.ImageID(len(l.imageIDs))
		l.imageIDs[name] = id
	}
	return id
}

// wants is what placement knows of a job's tasks.
func (j *job) wants() placement.Task { return placement.Task{Job: j.Job, Image: j.image} }

// shapeOf makes the key of a job's shape once: it is looked up for each look at the fleet.
func shapeOf(j *job) placement.ShapeKey {
	if j.shape == (placement.ShapeKey{}) {
		j.shape = placement.KeyOf(j.Job)
	}
	return j.shape
}

// weights are those that operators set.
func (l *leader) weights() placement.Weights {
	return placement.Weights{Image: l.controller.op.ImageWeight, Room: l.controller.op.RoomWeight}
}

// candidates finds the machines that a job's tasks may be placed on now.
func (l *leader) candidates(j *job) candidates {
	l.ranked = l.ranked[:0]
	l.judging = l.balance.judge(j)
	s := placement.ShapeOf(j.Job)
	// Where nothing found room before, nothing of the same kind and size will, and
	// while enough waits to be recorded, nothing is to be placed.
	if l.journal.full() || s.Hopeless(l.full) {
		return candidates{}
	}
	l.work += len(l.roomy)
	room := false
	for i, m := range l.roomy {
		if !m.HasRoom(j.Job) || !m.Allows(j.Job) {
			continue
		}
		room = true
		if m.Emptying && j.Checkpoint > 0 && l.overpriced(j, offer{spec: m.Spec, zone: m.Zone, spot: m.Spot}) {
			continue // it would soon have to leave again
		}
		if !l.avoids(j, m) {
			l.ranked = append(l.ranked, l.rate(m, j, int32(i)))
		}
	}
	if !room {
		l.full = append(l.full, s)
	}
	return placement.NewCandidates(l.ranked)
}

// takes reports whether an open machine may take one more task of a job, zones
// aside.
func (l *leader) takes(m *machine, j *job) bool {
	if !m.RoomInReport(j.Job) {
		l.controller.bounds.hit(boundTasks)
	}
	return m.HasRoom(j.Job) && m.Allows(j.Job) && !l.avoids(j, m)
}

// avoids reports whether a job stays away from a machine that failed it.
func (l *leader) avoids(j *job, m *machine) bool {
	return m.failuresByJob[j.ID] > 0 && len(j.failedOn) < 3
}

// best is the machine with the highest score that a job's rules about zones allow, nil
// without any. Machines that are being emptied come only after all others.
func (l *leader) best(c *candidates, j *job) *machine {
	for k := c.Best(); k != nil; k = c.Best() {
		if m := l.roomy[k.Machine]; j.zoneAllows(m.Zone) {
			return m
		}
		// What is placed meanwhile opens no zone to the job again.
		c.Drop()
	}
	return nil
}

// again looks anew at the best machine after it was given a task.
func (l *leader) again(c *candidates, j *job) {
	k := c.Best()
	m := l.roomy[k.Machine]
	if !l.takes(m, j) {
		c.Drop()
		return
	}
	c.Rank(l.rate(m, j, k.Machine))
}

// rate gives what ranks a machine, by its place among those with room, for a job.
func (l *leader) rate(m *machine, j *job, place int32) candidate {
	k := candidate{Machine: place, Last: m.Emptying, Score: l.weights().Score(&m.Machine, j.wants()),
		Room: m.Spec.CPUs - m.Taken.CPUs}
	if l.judging != nil {
		l.balance.apply(l.judging, m, &k)
	}
	return k
}
