package simulator

import (
	"slices"
	"strings"
)

// A moment is a point of time that a test can't name by the clock.
type triggerPoint uint8

const (
	// A transaction that puts or removes a key with the prefix is applied.
	onWrite triggerPoint = iota + 1
	// The state service drops the answer to a transaction that it has applied.
	onLostReply
	// The leader key is written; the node learns of it some milliseconds later.
	onLeader
	// A report arrives at the node of that name, or any; NODE/MACHINE: this machine's.
	onHeartbeat
	// The last task of the job completes.
	onJobDone
)

// trigger is something to be done once, right before or right after a moment.
type trigger struct {
	point  triggerPoint
	target string
	before bool
	skip   int // such moments that it lets go by first
	action func()
}

// onNext does something once, right before or after a moment.
func (c *Cluster) onNext(m triggerPoint, what string, before bool, run func()) {
	c.onNth(m, what, before, 0, run)
}

// onNth is when for a later moment of the kind: it lets some pass first.
func (c *Cluster) onNth(m triggerPoint, what string, before bool, passes int, run func()) {
	c.triggers = append(c.triggers, &trigger{m, what, before, passes, run})
}

// withTriggers lets a moment pass, with what is to be done before and after it.
func (c *Cluster) withTriggers(m triggerPoint, names []string, pass func()) {
	c.fireTriggers(m, names, true)
	pass()
	c.fireTriggers(m, names, false)
}

func (c *Cluster) fireTriggers(m triggerPoint, names []string, before bool) {
	if len(c.triggers) == 0 {
		return
	}
	var due []*trigger
	c.triggers = slices.DeleteFunc(c.triggers, func(h *trigger) bool {
		hit := h.point == m && h.before == before && (h.target == "" || slices.ContainsFunc(names, func(name string) bool {
			if m == onWrite {
				return strings.HasPrefix(name, h.target)
			}
			return name == h.target
		}))
		if hit && h.skip > 0 {
			h.skip--
			return false
		}
		if hit {
			due = append(due, h)
		}
		return hit
	})
	for _, h := range due {
		h.action()
	}
}
