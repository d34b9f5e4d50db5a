package balance

import (
	"math"
	"time"
)

// What makes and ends a surge.
const (
	levelFollows = time.Minute      // time constant of a team's usual level
	surgeBegins  = 1.5              // times the level, and a machine's worth besides
	surgeEnds    = 1.2              // times the level, and half of that
	surgeQuiet   = 10 * time.Second // that demand stays below for a surge to end
	maxSurge     = 10 * time.Minute // after which the new demand is the level
)

// SurgeRecord is what is kept of a surge that is under way.
type SurgeRecord struct {
	Number uint64 // Unix milliseconds of its beginning, above every earlier one's
	Level  float64
}

// Change is what an observation of a team's demand has changed.
type Change uint8

// Changes of a team's surge.
const (
	Unchanged Change = iota
	Begun
	Ended
)

// Surge follows a team's demand, and tells whether its work arrives in a surge.
type Surge struct {
	known  bool
	at     time.Time
	level  float64 // CPUs that the team usually wants
	number uint64  // of the surge under way; 0 without one
	last   uint64  // highest number so far
	since  time.Time
	low    time.Time // since when demand is low enough to end it; zero while it isn't
}

// Restore begins with a surge that is on record.
func (s *Surge) Restore(now time.Time, r SurgeRecord) {
	*s = Surge{known: true, at: now, level: r.Level, number: r.Number, last: r.Number, since: now}
}

// Record is what is to be kept of the surge under way; false without one.
func (s *Surge) Record() (SurgeRecord, bool) {
	return SurgeRecord{Number: s.number, Level: s.level}, s.number != 0
}

// Number is that of the surge under way, 0 without one.
func (s *Surge) Number() uint64 { return s.number }

// Observe takes a team's demand in CPUs. machine is what a machine has of them: less than
// that is no surge.
func (s *Surge) Observe(now time.Time, demand, machine float64) Change {
	if !s.known {
		// What a new leader sees first is usual for all it knows.
		*s = Surge{known: true, at: now, level: demand, last: s.last}
		return Unchanged
	}
	elapsed := now.Sub(s.at)
	s.at = now
	if s.number != 0 {
		return s.observeSurge(now, demand, machine)
	}
	if demand > s.level*surgeBegins+machine {
		s.number = max(s.last+1, uint64(now.UnixMilli()))
		s.last, s.since, s.low = s.number, now, time.Time{}
		return Begun
	}
	s.level += (demand - s.level) * (1 - math.Exp(-elapsed.Seconds()/levelFollows.Seconds()))
	return Unchanged
}

func (s *Surge) observeSurge(now time.Time, demand, machine float64) Change {
	switch {
	case demand > s.level*surgeEnds+machine/2:
		s.low = time.Time{}
	case s.low.IsZero():
		s.low = now
	}
	over := !s.low.IsZero() && now.Sub(s.low) >= surgeQuiet
	usual := now.Sub(s.since) >= maxSurge
	if !over && !usual {
		return Unchanged
	}
	if usual {
		s.level = demand
	}
	s.number = 0
	return Ended
}
