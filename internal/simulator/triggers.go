package simulator

import (
	"slices"
	"strings"
)

// triggerPoint is a kind of moment in a simulation that a test cannot identify by the clock.
type triggerPoint uint8

const (
	// onWrite: a transaction that writes or deletes a key is applied. The target is a prefix of
	// the key.
	onWrite triggerPoint = iota + 1
	// onLostReply: a transaction is applied at once and its reply is lost
	// (stateService.lostReplyShare).
	onLostReply
	// onLeader: the leader key is written; the new leader learns of it some milliseconds later.
	onLeader
	// onHeartbeat: a heartbeat arrives at a controller. The target is NODE or NODE/MACHINE.
	onHeartbeat
	// onJobDone: the last task of a job completes. The target is the job's ID. There is nothing
	// between the actions before and after it, which all run once the task has completed.
	onJobDone
)

// trigger is an action to run once, right before or right after a trigger point.
type trigger struct {
	point  triggerPoint
	target string // empty: any
	before bool   // run before the trigger point, not after it
	skip   int    // matches to skip before the action runs
	action func()
}

// onNext runs an action once, right before or after the next match of a trigger point.
func (c *Cluster) onNext(point triggerPoint, target string, before bool, action func()) {
	c.onNth(point, target, before, 0, action)
}

// onNth is like onNext but skips some matches first.
func (c *Cluster) onNth(point triggerPoint, target string, before bool, skip int, action func()) {
	c.triggers = append(c.triggers, &trigger{point, target, before, skip, action})
}

// withTriggers calls f, which is what happens at a trigger point, between the actions of the triggers
// before and after that point.
func (c *Cluster) withTriggers(point triggerPoint, names []string, f func()) {
	c.fireTriggers(point, names, true)
	f()
	c.fireTriggers(point, names, false)
}

// fireTriggers runs and removes the triggers that match the trigger point. names are the targets to
// which the point applies.
func (c *Cluster) fireTriggers(point triggerPoint, names []string, before bool) {
	if len(c.triggers) == 0 {
		return
	}
	var due []*trigger
	c.triggers = slices.DeleteFunc(c.triggers, func(t *trigger) bool {
		matches := t.point == point && t.before == before && (t.target == "" || slices.ContainsFunc(names, func(name string) bool {
			if point == onWrite {
				return strings.HasPrefix(name, t.target)
			}
			return name == t.target
		}))
		if matches && t.skip > 0 {
			t.skip--
			return false
		}
		if matches {
			due = append(due, t)
		}
		return matches
	})
	for _, t := range due {
		t.action()
	}
}
