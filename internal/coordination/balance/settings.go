// Package balance judges how loaded machines are and by whom, notices when a team's work
// arrives in a surge, bounds what such a team may put on one machine, and plans migrations of
// running work off overloaded machines (Planner).
//
// It owns the loads of machines, the surges of teams, and the run times that tell slow machines
// from others. It is pure code: it reads no clock, knows neither the state service nor the
// network, and never carries a plan out.
package balance

import "time"

// Settings are what operators choose.
type Settings struct {
	// CeilingShare is the part of a machine that tasks of a surging team may take, of the
	// resource that they take most of: above 0, up to 1.
	CeilingShare float64
	// MaxFetchBacklog is how long image fetches may queue on a machine that lacks an image.
	MaxFetchBacklog time.Duration
	// LoadPenalty is the time of fetching that it is worth to place a task on a machine without
	// work of its team rather than on one that the team fills up to the ceiling.
	LoadPenalty time.Duration
}
