package sessions

import "time"

// Timeouts and thresholds that don't depend on settings.
const (
	// minProbeAfter is the shortest time without a message after which a worker is probed.
	// Heartbeats may be seconds apart, while a running worker answers a probe within
	// milliseconds.
	minProbeAfter = 2 * time.Second
	// failedProbesReleaseAfter is the time without a message after which a worker is presumed
	// dead if at least UnansweringProbeThreshold probes in a row failed as well.
	failedProbesReleaseAfter = 3500 * time.Millisecond
	// LostHeartbeatDelay is the delay that an unanswered heartbeat causes: the worker waits for
	// the response and then tries the next controller.
	LostHeartbeatDelay = 5 * time.Second
	// UnreachableProbeThreshold is the number of consecutive failed probes that make a worker
	// count as unreachable by calls.
	UnreachableProbeThreshold = 2
	// UnansweringProbeThreshold is the number of consecutive failed probes after which it is
	// pointless to wait for the worker's heartbeat. unreachedReleaseProbes is the number after
	// which a worker is presumed dead although its heartbeats arrive, if nothing has been proven
	// to reach it for unreachedReleaseAfter.
	UnansweringProbeThreshold = 3
	unreachedReleaseProbes    = 4
	// stalledAfter is the gap between two scans above which messages of the workers may have
	// been received but not read yet, so that all workers seem unresponsive.
	stalledAfter = time.Second
	// registrationSlack covers one or two heartbeats sent to controllers that are down, and
	// reconnectSlack the second that a worker takes to try the next controller.
	registrationSlack = 6 * time.Second
	reconnectSlack    = 1200 * time.Millisecond
)

// Timing derives the failure detector's timeouts from two settings.
type Timing struct {
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
}

// SuspectAfter is the time without a message after which a machine gets no new tasks.
func (t Timing) SuspectAfter() time.Duration { return t.longestInterval() + 700*time.Millisecond }

// UnresponsiveAfter is the time without a message after which a machine is presumed dead
// regardless of probes.
func (t Timing) UnresponsiveAfter() time.Duration {
	return max(t.HeartbeatInterval*2+time.Second, 4*time.Second)
}

// ProbeAfter is the time without a message after which a worker is probed. It is no shorter than
// the heartbeat interval: probing between heartbeats took as many calls as there were heartbeats,
// and detects a dead worker only a second earlier. In a suspect zone, where a worker didn't
// answer its latest probe, the others are probed as early as possible. If they were probed later,
// the first machine would be released before a partition is detected.
func (t Timing) ProbeAfter(suspectZone bool) time.Duration {
	if suspectZone {
		return minProbeAfter
	}
	return max(minProbeAfter, t.HeartbeatInterval)
}

// UnreachedProbeAfter is the time without proof that anything sent reaches a worker after which
// it is probed although its heartbeats arrive.
func (t Timing) UnreachedProbeAfter() time.Duration { return 2*t.HeartbeatInterval + time.Second }

// unreachedReleaseAfter is the time without such proof after which a worker is presumed dead if
// probes fail as well.
func (t Timing) unreachedReleaseAfter() time.Duration { return 3*t.HeartbeatInterval + 4*time.Second }

// RegistrationTimeout is the maximum time until all running workers have registered with a new
// leader.
func (t Timing) RegistrationTimeout() time.Duration { return t.longestInterval() + registrationSlack }

// ReconnectTime is how long workers take to find their current owner, except those that lose
// heartbeats to controllers that are down.
func (t Timing) ReconnectTime() time.Duration { return t.longestInterval() + reconnectSlack }

// longestInterval is the longest time between two heartbeats: workers vary the interval by up to
// a quarter.
func (t Timing) longestInterval() time.Duration { return t.HeartbeatInterval * 5 / 4 }

// ContactLoss is how long a worker has been out of contact, by direction.
type ContactLoss struct {
	Unseen       time.Duration // since its latest message arrived
	Unreached    time.Duration // since the latest proof that something sent reached it: calls and heartbeat responses may be lost
	Unanswered   time.Duration // since its latest answered heartbeat: heartbeats may be lost
	FailedProbes int           // consecutive
}

// PresumedDead reports whether a machine should be treated as dead and released: it has sent no
// message for too long, with a shorter limit if probes fail as well; nothing is proven to reach it
// and probes fail; or none of its heartbeats was answered for two worker leases.
func (t Timing) PresumedDead(s ContactLoss) bool {
	return s.Unseen > t.UnresponsiveAfter() ||
		s.Unseen > failedProbesReleaseAfter && s.FailedProbes >= UnansweringProbeThreshold ||
		s.Unreached > t.unreachedReleaseAfter() && s.FailedProbes >= unreachedReleaseProbes ||
		s.Unanswered > 2*t.WorkerLease
}

// Detector is the state that a failure detector keeps between scans of its workers.
type Detector struct {
	resetAt      time.Time       // times out of contact are counted from here at the earliest
	scannedAt    time.Time       // when the last scan began
	cursor       int             // position of the next worker to probe
	suspectZones map[string]bool // zones with a worker that didn't answer its latest probe
}

// Reset makes all times out of contact count from now on at the earliest. It is called when missing
// messages up to now had causes other than failed workers.
func (d *Detector) Reset(now time.Time) { d.resetAt = now }

// ResetAt returns the time of the latest Reset.
func (d *Detector) ResetAt() time.Time { return d.resetAt }

// Scan records that a scan begins, and reports whether the process was stalled since the previous
// scan, in which case unread messages may be waiting. The first scan counts as stalled.
func (d *Detector) Scan(now time.Time) (stalled bool) {
	stalled = now.Sub(d.scannedAt) > stalledAfter
	d.scannedAt = now
	return stalled
}

// SetSuspectZones sets the zones with a worker that didn't answer its latest probe.
func (d *Detector) SetSuspectZones(zones map[string]bool) { d.suspectZones = zones }

// Unanswered returns for how long no heartbeat of a worker has been answered: its heartbeats may
// reach no controller although it answers calls. The time counts from the registration or the
// latest Reset at the earliest. It is 0 for an unregistered worker.
func (d *Detector) Unanswered(s *Session, now time.Time) time.Duration {
	if !s.Registered {
		return 0
	}
	return now.Sub(Latest(s.LastAnswered, s.RegisteredAt, d.resetAt))
}

// Unreached returns for how long there has been no proof that anything sent reaches a worker. The
// time counts from the registration or the latest Reset at the earliest. It is 0 for an unregistered
// worker.
func (d *Detector) Unreached(s *Session, now time.Time) time.Duration {
	if !s.Registered {
		return 0
	}
	return now.Sub(Latest(s.LastReached, s.RegisteredAt, d.resetAt))
}

// NeedsProbe reports whether a worker in the given zone should be probed: no message has arrived
// for a while, nothing is proven to reach the worker, or its latest probe failed. unseen is the time
// since its latest message.
func (d *Detector) NeedsProbe(t Timing, s *Session, zone string, unseen time.Duration, now time.Time) bool {
	return unseen > t.ProbeAfter(d.suspectZones[zone]) || s.Registered && s.LastReached.IsZero() ||
		d.Unreached(s, now) > t.UnreachedProbeAfter() || s.FailedProbes > 0
}

// ProbeRoundRobin calls probe for up to count workers, continuing after those of the previous call,
// until limit of them were probed. probe reports whether it probed worker i. After a call that went
// through all workers, the next one begins with the same worker again.
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

// DomainHealth counts the machines of a failure domain, which a network partition would cut off
// from their controller together.
type DomainHealth struct {
	Machines int
	Suspect  int // without a recent message, or with a failed probe
}

// Partitioned reports whether a partition is a more likely cause than dead machines, because more
// than 60% of the machines, and at least three, are suspect at once. Heartbeats arrive at different
// times, so machines whose heartbeats are only slightly overdue count as suspect, too.
func (h *DomainHealth) Partitioned() bool { return h.Suspect > 2 && h.Suspect*5 > h.Machines*3 }

// FleetContact counts the workers of a fleet by their contact with the controller.
type FleetContact struct {
	Registered  int // in this epoch
	Unreachable int // registered, but not responding to several probes in a row
	// Workers known from an earlier epoch: all of them, those that registered in this one, and
	// those that neither registered nor answer probes.
	Inherited, InheritedRegistered, InheritedUnanswering int
}

// MostUnreachable reports whether more than half of the registered workers don't answer probes. It
// is false for fewer than three registered workers.
func (f *FleetContact) MostUnreachable() bool {
	return f.Registered > 2 && f.Unreachable*2 > f.Registered
}

// FewRegistered reports whether fewer than a third of the workers known from an earlier epoch
// have registered. It is false for fewer than three such workers.
func (f *FleetContact) FewRegistered() bool {
	return f.Inherited > 2 && f.InheritedRegistered*3 < f.Inherited
}

// MostUnanswering reports whether more than two thirds of the workers known from an earlier
// epoch neither registered nor answer probes, so that waiting for them is pointless.
func (f *FleetContact) MostUnanswering() bool { return f.InheritedUnanswering*3 > f.Inherited*2 }
