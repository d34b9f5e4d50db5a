package coordination

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"brasskeel/internal/coordination/autoscaler"
)

// This file logs, for operators, why tasks are pending and why a controller is unavailable: when the
// reason changes, and at intervals while it persists.

// pendingLogAfter is how long a job must have been pending to be logged.
const pendingLogAfter = 5 * time.Second

// logAvailability logs when this controller can neither place tasks nor confirm anything to users,
// with the reason, and when it can again. The reasons are: it can't reach the state service; it knows
// no leader; it leads, but has been loading records for longer than pendingLogAfter or may no longer
// respond to workers (holdsLease). A reason is logged once it has lasted for two seconds.
func (c *Controller) logAvailability() {
	reason := ""
	switch {
	case c.store.Unavailable():
		reason = "state service unavailable"
	case c.leader != nil && c.leader.phase == phaseLoading && c.now.Sub(c.leader.electedAt) > pendingLogAfter:
		reason = "loading records"
	case c.leader != nil && !c.leader.jobsKnownAt.IsZero() && !c.leader.holdsLease():
		reason = "leader lease expired"
	case c.leader == nil && c.election.OtherLeader() == "":
		reason = "no leader known"
	}
	if reason != c.unavailability {
		c.unavailableSince = c.now
	}
	if reason == "" {
		if c.availabilityLog.Allow(c.now, "") {
			c.log.Info("controller available")
		}
		c.unavailability = ""
		return
	}
	c.unavailability = reason
	if c.now.Sub(c.unavailableSince) >= 2*time.Second && c.availabilityLog.Allow(c.now, reason) {
		c.log.Warn("controller unavailable", "reason", reason, "duration", c.now.Sub(c.unavailableSince).Round(time.Second))
	}
}

// pendingReason is the reason why tasks are pending. Its string is what operators see in the log.
type pendingReason uint8

const (
	pendingRoomExpected    pendingReason = iota // none of the other reasons applies: the cloud offers an instance that the job may use
	pendingTeamLimit                            // one more task would exceed the team's limit
	pendingQuarantine                           // the job is in quarantine: it seems to fail on every machine
	pendingZoneRules                            // the job's zone rules allow no zone that has a suitable machine type
	pendingRoundIncomplete                      // the last placement round ended early, e.g. because too many records wait to be written
	pendingBoots                                // machines are booting
	pendingCloudCapacity                        // the cloud offers no instance that the job may use
	pendingPrice                                // the instances that the cloud offers are too expensive for the job
	pendingRecovery                             // a new leader is still recovering: it loads records or waits for heartbeats
	pendingSurgeCeiling                         // further tasks would put every machine with capacity above the surge ceiling of the team
	pendingReasonCount
)

func (r pendingReason) String() string {
	return [...]string{
		pendingRoomExpected: "room expected", pendingTeamLimit: "team limit", pendingQuarantine: "job quarantined",
		pendingZoneRules: "zone rules", pendingRoundIncomplete: "records behind", pendingBoots: "machines booting",
		pendingCloudCapacity: "no cloud capacity", pendingPrice: "price too high", pendingRecovery: "heartbeats missing",
		pendingSurgeCeiling: "surge ceiling",
	}[r]
}

// pendingReasonOf returns why a job's tasks are pending: the first reason that applies. booting says
// whether any machine is booting. offers are the offers that can be requested now.
func (l *leader) pendingReasonOf(j *job, booting bool, offers []autoscaler.Offer) pendingReason {
	switch {
	case l.phase != phaseActive:
		return pendingRecovery
	case l.quarantined(j):
		return pendingQuarantine
	case !l.withinTeamLimit(j):
		return pendingTeamLimit
	case !l.provisionable(j):
		return pendingZoneRules
	case l.autoscaler.demandIncomplete:
		return pendingRoundIncomplete
	case l.rebalancer.waitsForCeiling(j):
		return pendingSurgeCeiling
	case booting:
		return pendingBoots
	}
	reason := pendingCloudCapacity
	for _, o := range offers {
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
	longest     *job // the job that has been pending for longest, of those without a live attempt or a completed task; nil: none
}

// summarizePending summarizes the jobs that have been pending for at least pendingLogAfter.
func (l *leader) summarizePending(booting bool) (sum pendingSummary) {
	var offers []autoscaler.Offer
	now := l.controller.now.Round(0)
	for _, j := range l.jobsByAge {
		left := j.pendingTasks()
		if left == 0 || now.Sub(j.submitted) < pendingLogAfter {
			continue
		}
		if offers == nil {
			offers = l.offers()
		}
		r := l.pendingReasonOf(j, booting, offers)
		sum.jobs[r]++
		sum.tasks[r] += left
		if j.liveAttempts == 0 && j.doneTasks == 0 && (sum.longest == nil || j.submitted.Before(sum.longest.submitted)) {
			sum.longest = j
		}
	}
	return sum
}

// describe returns the reasons that apply to at least one job, and the same reasons with their counts
// of jobs and tasks.
func (sum *pendingSummary) describe() (reasons, counts []string) {
	for r := range pendingReasonCount {
		if sum.jobs[r] > 0 {
			reasons = append(reasons, r.String())
			counts = append(counts, fmt.Sprintf("%s: %d jobs, %d tasks", r, sum.jobs[r], sum.tasks[r]))
		}
	}
	return reasons, counts
}

// logPendingReasons logs why tasks are pending, when the reasons have changed and at intervals. It
// also logs that boots are overdue, and when no tasks are pending any longer.
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
