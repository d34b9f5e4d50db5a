package coordination

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// What operators see, at level info, of work that waits and of a node that can't act:
// logged when it changes, and from time to time while it lasts.

const (
	explainAfter  = 5 * time.Second  // a wait shorter than this is nothing to tell
	explainChange = 5 * time.Second  // least time between lines that tell something new
	explainAgain  = 30 * time.Second // and between lines that tell the same
)

// told remembers what was said, and when.
type told struct {
	what string
	at   time.Time
}

// due reports whether something is to be said now.
func (t *told) due(now time.Time, what string) bool {
	since := now.Sub(t.at)
	if what == t.what && since < explainAgain || what != t.what && since < explainChange {
		return false
	}
	if what == "" && t.what == "" {
		return false
	}
	t.what, t.at = what, now
	return true
}

// explainNode tells of a node that knows no leader, follows another one, or can't reach
// the state service.
func (c *Controller) explainNode() {
	what := ""
	switch {
	case c.storeDown():
		what = "the state service does not answer"
	case c.leader != nil && c.leader.phase == loading && c.now.Sub(c.leader.elected) > explainAfter:
		what = "records are being loaded"
	case c.leader != nil && !c.leader.jobsKnownAt.IsZero() && !c.leader.holdsLease():
		what = "the leader lease has ended"
	case c.leader == nil && c.leaderName() == "":
		what = "no leader is known"
	}
	if what != c.trouble {
		c.troubleSince = c.now
	}
	if what == "" {
		if c.told.due(c.now, "") {
			c.log.Info("in order again")
		}
		c.trouble = ""
		return
	}
	c.trouble = what
	if c.now.Sub(c.troubleSince) >= 2*time.Second && c.told.due(c.now, what) {
		c.log.Warn("nothing can be placed or promised here", "why", what, "for", c.now.Sub(c.troubleSince).Round(time.Second))
	}
}

// reason is why tasks wait for machines.
type reason uint8

const (
	reasonRoom reason = iota // more will have room soon
	reasonLimit
	reasonFails
	reasonZones
	reasonRecords
	reasonBoots
	reasonCapacity
	reasonPrice
	reasonReports
	reasonCeiling
	reasons
)

func (r reason) String() string {
	return [...]string{"room is being made", "the team's limit", "the job keeps failing", "its rules about zones", "records are behind",
		"machines boot", "no capacity in the cloud", "only dear machines can be had", "machines are still to report", "a surging team's ceiling"}[r]
}

// whyWaits tells why a job's tasks wait.
func (l *leader) whyWaits(j *job, booting bool, open []offer) reason {
	switch {
	case l.phase != active:
		return reasonReports
	case l.suspect(j):
		return reasonFails
	case !l.underLimit(j):
		return reasonLimit
	case !l.placeable(j):
		return reasonZones
	case l.autoscaler.demandIncomplete:
		return reasonRecords
	case l.balance.holds(j):
		return reasonCeiling
	case booting:
		return reasonBoots
	}
	any := false
	for _, o := range open {
		if o.allows(j.Job) && j.zoneAllows(o.zone) {
			if !l.overpriced(j, o) {
				return reasonRoom
			}
			any = true
		}
	}
	if any {
		return reasonPrice
	}
	return reasonCapacity
}

// explain tells why work waits.
func (l *leader) explain() {
	c := l.controller
	if c.now.Sub(l.told.at) < explainChange {
		return
	}
	b := l.bootProgress()
	var open []offer
	var jobs, tasks [reasons]int
	var longest *job
	for _, j := range l.order {
		left := j.toStart()
		if left == 0 || c.now.Round(0).Sub(j.submitted) < explainAfter {
			continue
		}
		if open == nil {
			open = l.offers()
		}
		r := l.whyWaits(j, b.longest != nil, open)
		jobs[r]++
		tasks[r] += left
		if j.live == 0 && j.doneCount == 0 && (longest == nil || j.submitted.Before(longest.submitted)) {
			longest = j
		}
	}
	var kinds, counts []string
	for r := reason(0); r < reasons; r++ {
		if jobs[r] > 0 {
			kinds = append(kinds, r.String())
			counts = append(counts, fmt.Sprintf("%s: %d jobs, %d tasks", r, jobs[r], tasks[r]))
		}
	}
	if len(b.overdue) > 0 {
		kinds = append(kinds, "late boots")
	}
	slices.Sort(kinds)
	if !l.told.due(c.now, strings.Join(kinds, "; ")) {
		return
	}
	if len(kinds) == 0 {
		c.log.Info("no work waits")
		return
	}
	args := []any{"why", strings.Join(counts, "; ")}
	if b.longest != nil {
		booting := 0
		for _, m := range l.fleetList {
			if l.booting(m) {
				booting++
			}
		}
		args = append(args, "booting", booting, "longest", c.now.Sub(b.longest.provisionedAt).Round(time.Second), "late", len(b.overdue))
	}
	if longest != nil {
		args = append(args, "job", longest.ID, "waits", c.now.Round(0).Sub(longest.submitted).Round(time.Second))
	}
	c.log.Info("work waits", args...)
}
