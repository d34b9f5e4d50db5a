package coordination

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// What operators see, at level info, of work that waits and of a node that can't act:
// logged when it changes, and from time to time while it lasts.

// pendingLogAfter is how long a task is pending before operators hear of it.
const pendingLogAfter = 5 * time.Second

// logAvailability tells of a node that knows no leader, follows another one, or can't reach
// the state service.
func (c *Controller) logAvailability() {
	what := ""
	switch {
	case c.storeDown():
		what = "state service unavailable"
	case c.leader != nil && c.leader.phase == phaseLoading && c.now.Sub(c.leader.electedAt) > pendingLogAfter:
		what = "loading records"
	case c.leader != nil && !c.leader.jobsKnownAt.IsZero() && !c.leader.holdsLease():
		what = "leader lease expired"
	case c.leader == nil && c.election.OtherLeader() == "":
		what = "no leader known"
	}
	if what != c.trouble {
		c.troubleSince = c.now
	}
	if what == "" {
		if c.availabilityLog.Allow(c.now, "") {
			c.log.Info("controller available")
		}
		c.trouble = ""
		return
	}
	c.trouble = what
	if c.now.Sub(c.troubleSince) >= 2*time.Second && c.availabilityLog.Allow(c.now, what) {
		c.log.Warn("controller unavailable", "reason", what, "duration", c.now.Sub(c.troubleSince).Round(time.Second))
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
	return [...]string{
		pendingRoom: "room expected", pendingTeamLimit: "team limit", pendingQuarantine: "job quarantined",
		pendingZoneRules: "zone rules", pendingRecords: "records behind", pendingBoots: "machines booting",
		pendingCloudCapacity: "no cloud capacity", pendingPrice: "price too high", pendingReports: "heartbeats missing",
		pendingSurgeCeiling: "surge ceiling",
	}[r]
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
	if !l.pendingLog.Open(c.now) {
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
	if !l.pendingLog.Allow(c.now, strings.Join(kinds, "; ")) {
		return
	}
	if len(kinds) == 0 {
		c.log.Info("no tasks pending")
		return
	}
	args := []any{"reason", strings.Join(counts, "; ")}
	if b.longest != nil {
		booting := 0
		for _, m := range l.fleetList {
			if l.booting(m) {
				booting++
			}
		}
		args = append(args, "booting", booting, "longest_boot", c.now.Sub(b.longest.provisionedAt).Round(time.Second), "late_boots", len(b.overdue))
	}
	if longest != nil {
		args = append(args, "job", longest.ID, "duration", c.now.Round(0).Sub(longest.submitted).Round(time.Second))
	}
	c.log.Info("tasks pending", args...)
}
