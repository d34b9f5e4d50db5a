// Package balance keeps track of the load of machines by team, detects surges in the demand of
// teams, limits how much of a machine a surging team may use (the ceiling), and plans migrations of
// tasks off overloaded machines (Planner).
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
	// LoadPenalty converts load into fetch time. When machines are ranked, one on which the team's
	// tasks have reached the ceiling is equal to one without them on which fetching the image
	// takes LoadPenalty longer.
	LoadPenalty time.Duration
}
