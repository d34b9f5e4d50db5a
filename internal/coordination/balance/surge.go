package balance

import (
	"math"
	"time"
)

// What makes and ends a surge.
const (
	levelTimeConstant = time.Minute      // time constant of a team's usual level
	surgeStartFactor  = 1.5              // times the level, and a machine's worth besides
	surgeEndFactor    = 1.2              // times the level, and half of that
	surgeEndDelay     = 10 * time.Second // that demand stays below for a surge to end
	maxSurgeDuration  = 10 * time.Minute // after which the new demand is the level
)

// SurgeRecord is what is kept of a surge that is under way.
type SurgeRecord struct {
	Number uint64 // Unix milliseconds of its beginning, above every earlier one's
	Level  float64
}

// SurgeChange is what an observation of a team's demand has changed.
type SurgeChange uint8

// Changes of a team's surge.
const (
	Unchanged SurgeChange = iota
	Started
	Ended
)

// Surge follows a team's demand, and tells whether its work arrives in a surge.
type Surge struct {
	initialized bool
	observedAt  time.Time
	level       float64 // CPUs that the team usually wants
	number      uint64  // of the surge under way; 0 without one
	lastNumber  uint64  // highest number so far
	startedAt   time.Time
	lowSince    time.Time // since when demand is low enough to end it; zero while it isn't
}

// Restore begins with a surge that is on record.
func (s *Surge) Restore(now time.Time, r SurgeRecord) {
	*s = Surge{initialized: true, observedAt: now, level: r.Level, number: r.Number, lastNumber: r.Number, startedAt: now}
}

// Record is what is to be kept of the surge under way; false without one.
func (s *Surge) Record() (SurgeRecord, bool) {
	return SurgeRecord{Number: s.number, Level: s.level}, s.number != 0
}

// Number is that of the surge under way, 0 without one.
func (s *Surge) Number() uint64 { return s.number }

// Observe takes a team's demand in CPUs. machine is what a machine has of them: less than
// that is no surge.
func (s *Surge) Observe(now time.Time, demand, machine float64) SurgeChange {
	if !s.initialized {
		// What a new leader sees first is usual for all it knows.
		*s = Surge{initialized: true, observedAt: now, level: demand, lastNumber: s.lastNumber}
		return Unchanged
	}
	elapsed := now.Sub(s.observedAt)
	s.observedAt = now
	if s.number != 0 {
		return s.observeSurge(now, demand, machine)
	}
	if demand > s.level*surgeStartFactor+machine {
		s.number = max(s.lastNumber+1, uint64(now.UnixMilli()))
		s.lastNumber, s.startedAt, s.lowSince = s.number, now, time.Time{}
		return Started
	}
	s.level += (demand - s.level) * (1 - math.Exp(-elapsed.Seconds()/levelTimeConstant.Seconds()))
	return Unchanged
}

func (s *Surge) observeSurge(now time.Time, demand, machine float64) SurgeChange {
	switch {
	case demand > s.level*surgeEndFactor+machine/2:
		s.lowSince = time.Time{}
	case s.lowSince.IsZero():
		s.lowSince = now
	}
	over := !s.lowSince.IsZero() && now.Sub(s.lowSince) >= surgeEndDelay
	usual := now.Sub(s.startedAt) >= maxSurgeDuration
	if !over && !usual {
		return Unchanged
	}
	if usual {
		s.level = demand
	}
	s.number = 0
	return Ended
}
