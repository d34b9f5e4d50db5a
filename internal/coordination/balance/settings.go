// Package balance keeps track of the load of machines by team, detects surges in the demand of
// teams, limits how much of a machine a surging team may use, and plans migrations of running tasks
// off overloaded machines (Planner).
//
// It owns the loads of machines, the surges of teams, and the run times by which slow machines are
// detected. It reads no clock, uses neither the state service nor the network, and never carries
// out a plan.
package balance

import "time"

// Settings are the settings of load balancing that operators choose.
type Settings struct {
	// CeilingShare is the share of a machine that tasks of a surging team may use, of the
	// resource that they use most of. It is above 0 and at most 1.
	CeilingShare float64
	// MaxFetchBacklog is the longest backlog of image fetches at which a machine still gets
	// tasks whose image it lacks without counting as above the ceiling.
	MaxFetchBacklog time.Duration
	// LoadPenalty is the additional fetch time that is accepted to place a task on a machine
	// without tasks of its team rather than on one that the team fills up to the ceiling.
	LoadPenalty time.Duration
}
