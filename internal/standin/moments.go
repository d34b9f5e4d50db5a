package standin

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
	run    func()
}

// when does something once, right before or after a moment.
func (c *Cluster) when(m moment, what string, before bool, run func()) {
	c.hooks = append(c.hooks, &hook{m, what, before, run})
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
	// One at a time, the oldest first: what several are to do in turn, at the first
	// leader, the second and so on, is told by several hooks.
	i := slices.IndexFunc(c.hooks, func(h *hook) bool {
		return h.moment == m && h.before == before && (h.what == "" || slices.ContainsFunc(names, func(name string) bool {
			if m == onWrite {
				return strings.HasPrefix(name, h.what)
			}
			return name == h.what
		}))
	})
	if i >= 0 {
		h := c.hooks[i]
		c.hooks = slices.Delete(c.hooks, i, i+1)
		h.run()
	}
}
