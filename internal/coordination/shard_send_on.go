package coordination

import "time"

// sendOn says where a controller that neither serves a worker nor leads sends it. The leader
// knows who serves it; but where the worker can't reach the leader, it came back from there
// after a time-out, was sent there again, and never tried the controller that serves it until
// its lease ended. Without a name it tries all of them in turn.
type sendOn struct {
	controller *Controller
	sent       map[string]time.Time // to the leader, by machine
}

const (
	// sentFor is within which time a worker that was sent to the leader and comes back is
	// taken not to have reached it: the time-out of a report, the pause after it, and as
	// much again.
	sentFor = 2 * lostHeartbeatDelay
	// sentKept bounds how many are remembered before old ones are dropped.
	sentKept = 1024
	// leaderHeard is how long ago a leader that was heard before must have been heard to be
	// named.
	leaderHeard = 3 * time.Second
)

func newSendOn(c *Controller) sendOn { return sendOn{controller: c, sent: map[string]time.Time{}} }

// to names the controller that a machine's worker is to try, empty for the next one in turn.
func (s *sendOn) to(machine string) string {
	c := s.controller
	leader := c.leaderName()
	if p := c.peers[leader]; p != nil && (p.blind || c.now.Sub(p.at) > leaderHeard) {
		return ""
	}
	if at, ok := s.sent[machine]; ok && c.now.Sub(at) < sentFor {
		delete(s.sent, machine) // it may be sent there the next time
		return ""
	}
	s.remember(machine)
	return leader
}

func (s *sendOn) remember(machine string) {
	if len(s.sent) >= sentKept {
		for name, at := range s.sent {
			if s.controller.now.Sub(at) >= sentFor {
				delete(s.sent, name)
			}
		}
	}
	s.sent[machine] = s.controller.now
}
