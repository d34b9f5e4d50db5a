package coordination

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"brasskeel/internal/coordination/autoscaler"
)

// What operators see, at level info, of tasks that are pending and of a controller that can't
// act: logged when it changes, and from time to time while it lasts.

// pendingLogAfter is how long a task is pending before operators hear of it.
const pendingLogAfter = 5 * time.Second

// logAvailability tells operators that this controller can't place, or can't promise anything
// to users: it knows no leader, doesn't lead yet or any more, or can't reach the state service.
func (c *Controller) logAvailability() {
	what := ""
	switch {
	case c.store.Unavailable():
		what = "state service unavailable"
	case c.leader != nil && c.leader.phase == phaseLoading && c.now.Sub(c.leader.electedAt) > pendingLogAfter:
		what = "loading records"
	case c.leader != nil && !c.leader.jobsKnownAt.IsZero() && !c.leader.holdsLease():
		what = "leader lease expired"
	case c.leader == nil && c.election.OtherLeader() == "":
		what = "no leader known"
	}
	if what != c.unavailability {
		c.unavailableSince = c.now
	}
	if what == "" {
		if c.availabilityLog.Allow(c.now, "") {
			c.log.Info("controller available")
		}
		c.unavailability = ""
		return
	}
	c.unavailability = what
	if c.now.Sub(c.unavailableSince) >= 2*time.Second && c.availabilityLog.Allow(c.now, what) {
		c.log.Warn("controller unavailable", "reason", what, "duration", c.now.Sub(c.unavailableSince).Round(time.Second))
	}
}

// pendingReason is why tasks are pending.
type pendingReason uint8

const (
	pendingRoomExpected  pendingReason = iota // more will have room soon
	pendingTeamLimit                          // the team's limit is reached
	pendingQuarantine                         // the job fails everywhere
	pendingZoneRules                          // its rules about zones leave none
	pendingRecordBacklog                      // the round ended early: records are behind
	pendingBoots                              // machines boot
	pendingCloudCapacity                      // the cloud has no instance that it may use
	pendingPrice                              // those that the cloud has are too dear for it
	pendingHeartbeats                         // a new leader still waits for heartbeats
	pendingSurgeCeiling                       // room is above the ceiling of a team that surges
	pendingReasonCount
)

func (r pendingReason) String() string {
	return [...]string{
		pendingRoomExpected: "room expected", pendingTeamLimit: "team limit", pendingQuarantine: "job quarantined",
		pendingZoneRules: "zone rules", pendingRecordBacklog: "records behind", pendingBoots: "machines booting",
		pendingCloudCapacity: "no cloud capacity", pendingPrice: "price too high", pendingHeartbeats: "heartbeats missing",
		pendingSurgeCeiling: "surge ceiling",
	}[r]
}

// pendingReasonOf is why a job's tasks are pending, the first that applies. booting says whether
// any machine boots, open which instances the cloud offers.
func (l *leader) pendingReasonOf(j *job, booting bool, open []autoscaler.Offer) pendingReason {
	switch {
	case l.phase != phaseActive:
		return pendingHeartbeats
	case l.quarantined(j):
		return pendingQuarantine
	case !l.withinTeamLimit(j):
		return pendingTeamLimit
	case !l.provisionable(j):
		return pendingZoneRules
	case l.autoscaler.demandIncomplete:
		return pendingRecordBacklog
	case l.rebalancer.waitsForCeiling(j):
		return pendingSurgeCeiling
	case booting:
		return pendingBoots
	}
	reason := pendingCloudCapacity
	for _, o := range open {
		if o.Allows(j.Job) && j.zoneAllowed(o.Zone) {
			if !l.overpriced(j, o) {
				return pendingRoomExpected
			}
			reason = pendingPrice
		}
	}
	return reason
}

// pendingSummary counts the jobs and tasks that are pending, by reason.
type pendingSummary struct {
	jobs, tasks [pendingReasonCount]int
	longest     *job // of those without a task that runs or is done; nil: none
}

// summarizePending looks at all jobs that have been pending for long enough to tell.
func (l *leader) summarizePending(booting bool) (sum pendingSummary) {
	var open []autoscaler.Offer
	now := l.controller.now.Round(0)
	for _, j := range l.jobsByAge {
		left := j.pendingTasks()
		if left == 0 || now.Sub(j.submitted) < pendingLogAfter {
			continue
		}
		if open == nil {
			open = l.offers()
		}
		r := l.pendingReasonOf(j, booting, open)
		sum.jobs[r]++
		sum.tasks[r] += left
		if j.liveAttempts == 0 && j.doneTasks == 0 && (sum.longest == nil || j.submitted.Before(sum.longest.submitted)) {
			sum.longest = j
		}
	}
	return sum
}

// describe lists the reasons, alone and with their counts.
func (sum *pendingSummary) describe() (reasons, counts []string) {
	for r := range pendingReasonCount {
		if sum.jobs[r] > 0 {
			reasons = append(reasons, r.String())
			counts = append(counts, fmt.Sprintf("%s: %d jobs, %d tasks", r, sum.jobs[r], sum.tasks[r]))
		}
	}
	return reasons, counts
}

// logPendingReasons tells operators why tasks are pending.
func (l *leader) logPendingReasons() {
	c := l.controller
	if !l.pendingLog.MayLog(c.now) {
		return
	}
	boots := l.bootProgress()
	sum := l.summarizePending(boots.longest != nil)
	reasons, counts := sum.describe()
	if len(boots.overdue) > 0 {
		reasons = append(reasons, "late boots")
	}
	slices.Sort(reasons)
	if !l.pendingLog.Allow(c.now, strings.Join(reasons, "; ")) {
		return
	}
	if len(reasons) == 0 {
		c.log.Info("no tasks pending")
		return
	}
	attributes := []any{"reason", strings.Join(counts, "; ")}
	if boots.longest != nil {
		booting := 0
		for _, m := range l.fleetList {
			if l.booting(m) {
				booting++
			}
		}
		attributes = append(attributes, "booting", booting, "longest_boot", c.now.Sub(boots.longest.provisionedAt).Round(time.Second), "late_boots", len(boots.overdue))
	}
	if sum.longest != nil {
		attributes = append(attributes, "job", sum.longest.ID, "duration", c.now.Round(0).Sub(sum.longest.submitted).Round(time.Second))
	}
	c.log.Info("tasks pending", attributes...)
}
