package simulator

import (
	"slices"
	"strings"
)

// A moment is a point of time that a test can't name by the clock.
type moment uint8

const (
	// A transaction that puts or removes a key with the prefix is applied.
	onWrite moment = iota + 1
	// The state service drops the answer to a transaction that it has applied.
	onLostAnswer
	// The leader key is written; the node learns of it some milliseconds later.
	onLeader
	// A report arrives at the node of that name, or any; NODE/MACHINE: this machine's.
	onReport
	// The last task of the job completes.
	onDone
)

// hook is something to be done once, right before or right after a moment.
type hook struct {
	moment moment
	what   string
	before bool
	passes int // such moments that it lets go by first
	run    func()
}

// when does something once, right before or after a moment.
func (c *Cluster) when(m moment, what string, before bool, run func()) {
	c.whenNext(m, what, before, 0, run)
}

// whenNext is when for a later moment of the kind: it lets some pass first.
func (c *Cluster) whenNext(m moment, what string, before bool, passes int, run func()) {
	c.hooks = append(c.hooks, &hook{m, what, before, passes, run})
}

// around lets a moment pass, with what is to be done before and after it.
func (c *Cluster) around(m moment, names []string, pass func()) {
	c.strike(m, names, true)
	pass()
	c.strike(m, names, false)
}

func (c *Cluster) strike(m moment, names []string, before bool) {
	if len(c.hooks) == 0 {
		return
	}
	var due []*hook
	c.hooks = slices.DeleteFunc(c.hooks, func(h *hook) bool {
		hit := h.moment == m && h.before == before && (h.what == "" || slices.ContainsFunc(names, func(name string) bool {
			if m == onWrite {
				return strings.HasPrefix(name, h.what)
			}
			return name == h.what
		}))
		if hit && h.passes > 0 {
			h.passes--
			return false
		}
		if hit {
			due = append(due, h)
		}
		return hit
	})
	for _, h := range due {
		h.run()
	}
}
