package coordination

import (
	"time"

	"brasskeel/internal/coordination/sessions"
)

// redirector says where a controller that neither serves a worker nor leads sends it. The leader
// knows who serves it; but where the worker can't reach the leader, it came back from there
// after a time-out, was sent there again, and never tried the controller that serves it until
// its lease ended. Without a name it tries all of them in turn.
type redirector struct {
	controller   *Controller
	redirectedAt map[string]time.Time // to the leader, by machine
}

const (
	// redirectReturnWindow is within which time a worker that was sent to the leader and comes back is
	// taken not to have reached it: the time-out of a report, the pause after it, and as
	// much again.
	redirectReturnWindow = 2 * sessions.LostHeartbeatDelay
	// maxRememberedRedirects bounds how many are remembered before old ones are dropped.
	maxRememberedRedirects = 1024
	// leaderHeardWithin is how long ago a leader that was heard before must have been heard to be
	// named.
	leaderHeardWithin = 3 * time.Second
)

func newRedirector(c *Controller) redirector {
	return redirector{controller: c, redirectedAt: map[string]time.Time{}}
}

// target names the controller that a machine's worker is to try, empty for the next one in turn.
func (s *redirector) target(machine string) string {
	c := s.controller
	leader := c.election.OtherLeader()
	if p := c.peers[leader]; p != nil && (p.workersUnreachable || c.now.Sub(p.heardAt) > leaderHeardWithin) {
		return ""
	}
	if at, ok := s.redirectedAt[machine]; ok && c.now.Sub(at) < redirectReturnWindow {
		delete(s.redirectedAt, machine) // it may be sent there the next time
		return ""
	}
	s.remember(machine)
	return leader
}

func (s *redirector) remember(machine string) {
	if len(s.redirectedAt) >= maxRememberedRedirects {
		for name, at := range s.redirectedAt {
			if s.controller.now.Sub(at) >= redirectReturnWindow {
				delete(s.redirectedAt, name)
			}
		}
	}
	s.redirectedAt[machine] = s.controller.now
}
