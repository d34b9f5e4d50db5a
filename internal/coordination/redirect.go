package coordination

import (
	"time"

	"brasskeel/internal/coordination/sessions"
)

// redirector says where a controller that neither serves a worker nor leads redirects it. The
// leader knows who serves it; but where the worker can't reach the leader, it came back from
// there after a time-out, was redirected there again, and never tried the controller that
// serves it until its lease expired. Without a name it tries all of them in turn.
type redirector struct {
	controller   *Controller
	redirectedAt map[string]time.Time // to the leader, by machine
}

const (
	// redirectReturnWindow is within which time a worker that was redirected to the leader and
	// comes back is taken not to have reached it: the time-out of a heartbeat, the pause after
	// it, and as much again.
	redirectReturnWindow = 2 * sessions.LostHeartbeatDelay
	// maxRememberedRedirects bounds how many are remembered before old ones are dropped.
	maxRememberedRedirects = 1024
	// leaderHeardWithin is how long ago a leader that was heard before must have been heard to
	// be named.
	leaderHeardWithin = 3 * time.Second
)

func newRedirector(c *Controller) redirector {
	return redirector{controller: c, redirectedAt: map[string]time.Time{}}
}

// target names the controller that a machine's worker is to try, empty for the next one in turn.
func (r *redirector) target(machine string) string {
	c := r.controller
	leader := c.election.OtherLeader()
	if p := c.peers[leader]; p != nil && (p.WorkersUnreachable || c.now.Sub(p.HeardAt) > leaderHeardWithin) {
		return ""
	}
	if at, ok := r.redirectedAt[machine]; ok && c.now.Sub(at) < redirectReturnWindow {
		delete(r.redirectedAt, machine) // it may be redirected there the next time
		return ""
	}
	r.remember(machine)
	return leader
}

// remember notes that a machine's worker was redirected to the leader.
func (r *redirector) remember(machine string) {
	if len(r.redirectedAt) >= maxRememberedRedirects {
		for name, at := range r.redirectedAt {
			if r.controller.now.Sub(at) >= redirectReturnWindow {
				delete(r.redirectedAt, name)
			}
		}
	}
	r.redirectedAt[machine] = r.controller.now
}
