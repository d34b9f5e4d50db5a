package sessions

import "time"

// Times and counts that don't depend on settings.
const (
	// minProbeAfter is the least silence after which a worker is probed. Heartbeats may be
	// seconds apart; a worker that lives answers a probe within milliseconds.
	minProbeAfter = 2 * time.Second
	// failedProbesReleaseAfter is the silence after which a worker that doesn't answer
	// probes either is presumed dead.
	failedProbesReleaseAfter = 3500 * time.Millisecond
	// LostHeartbeatDelay is what a heartbeat costs that gets no answer: the worker waits for
	// it and tries the next controller.
	LostHeartbeatDelay = 5 * time.Second
	// UnreachableProbeThreshold is how many probes in a row a worker leaves unanswered that counts as
	// unreachable for who calls it.
	UnreachableProbeThreshold = 2
	// UnansweringProbeThreshold is how many of them prove that waiting for the worker's heartbeat is
	// of no use, and unreachedReleaseProbes how many make one presumed dead whose heartbeats arrive.
	UnansweringProbeThreshold = 3
	unreachedReleaseProbes    = 4
	// stalledAfter is for how long a process must have done nothing that messages may wait
	// unread, and all workers seem silent.
	stalledAfter = time.Second
	// registrationSlack covers a heartbeat or two lost on controllers that are gone, and
	// reconnectSlack the second that a worker takes to try the next controller.
	registrationSlack = 6 * time.Second
	reconnectSlack    = 1200 * time.Millisecond
)

// Timing derives the failure detector's times from two settings.
type Timing struct {
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
}

// SuspectAfter is the silence after which a machine takes nothing new.
func (t Timing) SuspectAfter() time.Duration { return t.longestInterval() + 700*time.Millisecond }

// UnresponsiveAfter is the silence after which a machine is given up, whatever probes say.
func (t Timing) UnresponsiveAfter() time.Duration {
	return max(t.HeartbeatInterval*2+time.Second, 4*time.Second)
}

// ProbeAfter is the silence after which a worker is probed. Where heartbeats are further
// apart, probing between them took as many calls as there were heartbeats, and finds what is
// dead a second sooner. In a zone where a worker doesn't answer the others are probed at the
// soonest, or the first would be given up before a partition is seen.
func (t Timing) ProbeAfter(suspectZone bool) time.Duration {
	if suspectZone {
		return minProbeAfter
	}
	return max(minProbeAfter, t.HeartbeatInterval)
}

// UnreachedProbeAfter is how long nothing sent may have been seen to arrive before a worker
// whose heartbeats arrive is probed, and unreachedReleaseAfter before it is given up when
// probes fail, too.
func (t Timing) UnreachedProbeAfter() time.Duration { return 2*t.HeartbeatInterval + time.Second }

func (t Timing) unreachedReleaseAfter() time.Duration { return 3*t.HeartbeatInterval + 4*time.Second }

// RegistrationTimeout is when every live worker has found a new leader.
func (t Timing) RegistrationTimeout() time.Duration { return t.longestInterval() + registrationSlack }

// ReconnectTime is when those workers that can have found whoever serves them now.
func (t Timing) ReconnectTime() time.Duration { return t.longestInterval() + reconnectSlack }

// longestInterval is the longest time between two heartbeats: workers vary it by a quarter.
func (t Timing) longestInterval() time.Duration { return t.HeartbeatInterval * 5 / 4 }

// Silence is for how long a worker wasn't in contact, and how many probes failed in a row.
type Silence struct {
	Unseen       time.Duration // since its latest message
	Unreached    time.Duration // since something sent was seen to arrive: calls and answers are lost
	Unanswered   time.Duration // since a heartbeat of it was answered: heartbeats are lost
	FailedProbes int
}

// PresumedDead reports whether a machine is to be given up.
func (t Timing) PresumedDead(s Silence) bool {
	return s.Unseen > t.UnresponsiveAfter() ||
		s.Unseen > failedProbesReleaseAfter && s.FailedProbes >= UnansweringProbeThreshold ||
		s.Unreached > t.unreachedReleaseAfter() && s.FailedProbes >= unreachedReleaseProbes ||
		s.Unanswered > 2*t.WorkerLease
}

// Detector is what a failure detector remembers between two scans of its workers.
type Detector struct {
	resetAt      time.Time       // silence counts from here at the earliest
	scannedAt    time.Time       // when the workers were last looked at
	cursor       int             // which of the workers to be probed comes next
	suspectZones map[string]bool // where a worker didn't answer its latest probe
}

// Reset lets the silence of workers count anew: it said nothing until now.
func (d *Detector) Reset(now time.Time) { d.resetAt = now }

// ResetAt is when silence began to count.
func (d *Detector) ResetAt() time.Time { return d.resetAt }

// Scan notes that the workers are looked at, and reports whether the process did nothing
// since it last was done: messages wait unread then.
func (d *Detector) Scan(now time.Time) (stalled bool) {
	stalled = now.Sub(d.scannedAt) > stalledAfter
	d.scannedAt = now
	return stalled
}

// SetSuspectZones replaces the zones where a worker doesn't answer.
func (d *Detector) SetSuspectZones(zones map[string]bool) { d.suspectZones = zones }

// Unanswered is how long no heartbeat of a worker has been answered, although it may answer
// calls: it reaches no controller. It is 0 for one that isn't registered.
func (d *Detector) Unanswered(s *Session, now time.Time) time.Duration {
	if !s.Registered {
		return 0
	}
	return now.Sub(Latest(s.LastAnswered, s.RegisteredAt, d.resetAt))
}

// Unreached is how long nothing sent was seen to arrive at a worker. It is 0 for one that
// isn't registered.
func (d *Detector) Unreached(s *Session, now time.Time) time.Duration {
	if !s.Registered {
		return 0
	}
	return now.Sub(Latest(s.LastReached, s.RegisteredAt, d.resetAt))
}

// NeedsProbe reports whether a worker of a zone is to be probed that was silent for a time.
func (d *Detector) NeedsProbe(t Timing, s *Session, zone string, unseen time.Duration, now time.Time) bool {
	return unseen > t.ProbeAfter(d.suspectZones[zone]) || s.Registered && s.LastReached.IsZero() ||
		d.Unreached(s, now) > t.UnreachedProbeAfter() || s.FailedProbes > 0
}

// ProbeRoundRobin visits some of count workers, beginning after those that it visited the last
// time, until as many as limit were probed.
func (d *Detector) ProbeRoundRobin(count, limit int, probe func(i int) (probed bool)) {
	for i := range count {
		if limit == 0 {
			d.cursor += i
			return
		}
		if probe((d.cursor + i) % count) {
			limit--
		}
	}
}

// DomainHealth is how the machines of a failure domain answer: those that a network
// partition would part from their controller together.
type DomainHealth struct {
	Machines int
	Suspect  int // silent, or with a failed probe
}

// Partitioned reports whether the silence of the machines speaks for a partition rather than
// for their deaths: most of them are suspect at once. Heartbeats come at different times, so
// those that are only late by now count, too.
func (h *DomainHealth) Partitioned() bool { return h.Suspect > 2 && h.Suspect*5 > h.Machines*3 }

// FleetContact counts how the workers of a fleet are in contact with their controller.
type FleetContact struct {
	Registered  int // in this epoch
	Unreachable int // of them, those that don't answer probes
	// Of those that an earlier epoch knew: all, those that registered, and those that neither
	// did nor answer probes.
	Inherited, InheritedRegistered, InheritedUnanswering int
}

// MostUnreachable reports whether most of the workers that registered can't be called.
func (f *FleetContact) MostUnreachable() bool {
	return f.Registered > 2 && f.Unreachable*2 > f.Registered
}

// FewRegistered reports whether most workers of the epoch before never registered.
func (f *FleetContact) FewRegistered() bool {
	return f.Inherited > 2 && f.InheritedRegistered*3 < f.Inherited
}

// MostUnanswering reports whether most workers of the epoch before don't answer probes
// either, and needn't be waited for.
func (f *FleetContact) MostUnanswering() bool { return f.InheritedUnanswering*3 > f.Inherited*2 }
