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
	pendingLogAfter     = 5 * time.Second  // a wait shorter than this is nothing to tell
	changedLogInterval  = 5 * time.Second  // least time between lines that tell something new
	repeatedLogInterval = 30 * time.Second // and between lines that tell the same
)

// changeThrottle remembers what was said, and when.
type changeThrottle struct {
	last string
	at   time.Time
}

// allow reports whether something is to be said now.
func (t *changeThrottle) allow(now time.Time, what string) bool {
	since := now.Sub(t.at)
	if what == t.last && since < repeatedLogInterval || what != t.last && since < changedLogInterval {
		return false
	}
	if what == "" && t.last == "" {
		return false
	}
	t.last, t.at = what, now
	return true
}

// logAvailability tells of a node that knows no leader, follows another one, or can't reach
// the state service.
func (c *Controller) logAvailability() {
	what := ""
	switch {
	case c.storeDown():
		what = "the state service does not answer"
	case c.leader != nil && c.leader.phase == phaseLoading && c.now.Sub(c.leader.electedAt) > pendingLogAfter:
		what = "records are being loaded"
	case c.leader != nil && !c.leader.jobsKnownAt.IsZero() && !c.leader.holdsLease():
		what = "the leader lease has ended"
	case c.leader == nil && c.otherLeader() == "":
		what = "no leader is known"
	}
	if what != c.trouble {
		c.troubleSince = c.now
	}
	if what == "" {
		if c.told.allow(c.now, "") {
			c.log.Info("in order again")
		}
		c.trouble = ""
		return
	}
	c.trouble = what
	if c.now.Sub(c.troubleSince) >= 2*time.Second && c.told.allow(c.now, what) {
		c.log.Warn("nothing can be placed or promised here", "why", what, "for", c.now.Sub(c.troubleSince).Round(time.Second))
	}
}

// pendingReason is why tasks wait for machines.
type pendingReason uint8

const (
	pendingRoom pendingReason = iota // more will have room soon
	pendingTeamLimit
	pendingQuarantine
	pendingZoneRules
	pendingRecords
	pendingBoots
	pendingCloudCapacity
	pendingPrice
	pendingReports
	pendingSurgeCeiling
	pendingReasonCount
)

func (r pendingReason) String() string {
	return [...]string{"room is being made", "the team's limit", "the job keeps failing", "its rules about zones", "records are behind",
		"machines boot", "no capacity in the cloud", "only dear machines can be had", "machines are still to report", "a surging team's ceiling"}[r]
}

// pendingReasonOf tells why a job's tasks wait.
func (l *leader) pendingReasonOf(j *job, booting bool, open []offer) pendingReason {
	switch {
	case l.phase != phaseActive:
		return pendingReports
	case l.quarantined(j):
		return pendingQuarantine
	case !l.withinLimit(j):
		return pendingTeamLimit
	case !l.provisionable(j):
		return pendingZoneRules
	case l.autoscaler.demandIncomplete:
		return pendingRecords
	case l.rebalancer.waitsForCeiling(j):
		return pendingSurgeCeiling
	case booting:
		return pendingBoots
	}
	any := false
	for _, o := range open {
		if o.allows(j.Job) && j.zoneAllowed(o.zone) {
			if !l.overpriced(j, o) {
				return pendingRoom
			}
			any = true
		}
	}
	if any {
		return pendingPrice
	}
	return pendingCloudCapacity
}

// logPendingReasons tells why work waits.
func (l *leader) logPendingReasons() {
	c := l.controller
	if c.now.Sub(l.pendingLog.at) < changedLogInterval {
		return
	}
	b := l.bootProgress()
	var open []offer
	var jobs, tasks [pendingReasonCount]int
	var longest *job
	for _, j := range l.jobsByAge {
		left := j.pendingTasks()
		if left == 0 || c.now.Round(0).Sub(j.submitted) < pendingLogAfter {
			continue
		}
		if open == nil {
			open = l.offers()
		}
		r := l.pendingReasonOf(j, b.longest != nil, open)
		jobs[r]++
		tasks[r] += left
		if j.liveAttempts == 0 && j.doneTasks == 0 && (longest == nil || j.submitted.Before(longest.submitted)) {
			longest = j
		}
	}
	var kinds, counts []string
	for r := pendingReason(0); r < pendingReasonCount; r++ {
		if jobs[r] > 0 {
			kinds = append(kinds, r.String())
			counts = append(counts, fmt.Sprintf("%s: %d jobs, %d tasks", r, jobs[r], tasks[r]))
		}
	}
	if len(b.overdue) > 0 {
		kinds = append(kinds, "late boots")
	}
	slices.Sort(kinds)
	if !l.pendingLog.allow(c.now, strings.Join(kinds, "; ")) {
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
