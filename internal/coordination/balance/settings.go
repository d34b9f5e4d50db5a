// Package balance judges how loaded machines are and by whom, notices when a team's work
// arrives in a surge, and bounds what such a team may put on one machine. It is pure code: it
// reads no clock and knows neither the state service nor the network.
package balance

import "time"

// Settings are what operators choose.
type Settings struct {
	// CeilingShare is the part of a machine that tasks of a surging team may take.
	CeilingShare float64
	// FetchQueue is how much image fetching may queue on a machine that lacks an image.
	FetchQueue time.Duration
	// Trade is the time of fetching that it is worth to place a task on a machine without
	// work of its team rather than on one that the team fills up to the ceiling.
	Trade time.Duration
}
