package balance

import (
	"math"
	"time"
)

// Parameters of surge detection.
const (
	usualCPUsTimeConstant = time.Minute      // time constant of the moving average of a team's demand
	surgeStartFactor      = 1.5              // a surge starts when demand exceeds this multiple of the usual demand by more than one machine's CPUs
	surgeEndFactor        = 1.2              // demand is low at no more than this multiple of the usual demand plus half of one machine's CPUs
	surgeEndDelay         = 10 * time.Second // how long demand must stay low to end a surge
	maxSurgeDuration      = 10 * time.Minute // after which a surge ends and the current demand becomes the usual demand
)

// SurgeRecord is the part of an active surge that is recorded.
type SurgeRecord struct {
	Number    uint64  // start time in Unix milliseconds, increased if necessary to exceed all earlier numbers
	UsualCPUs float64 // usual demand of the team, in CPUs
}

// SurgeChange says whether an observation of a team's demand started or ended a surge.
type SurgeChange uint8

// The changes of a team's surge.
const (
	Unchanged SurgeChange = iota
	Started
	Ended
)

// Surge detects surges in a team's demand: demand far above its moving average, the usual demand.
type Surge struct {
	initialized bool
	observedAt  time.Time
	usualCPUs   float64   // usual demand of the team, in CPUs: its moving average outside surges
	number      uint64    // of the active surge; 0 if there is none
	lastNumber  uint64    // highest number so far
	startedAt   time.Time // when the surge started or was restored
	lowSince    time.Time // since when demand has been low enough to end the surge; zero if it is higher
}

// Restore sets the active surge from its record. maxSurgeDuration counts from now, not from the start
// of the recorded surge.
func (s *Surge) Restore(now time.Time, r SurgeRecord) {
	*s = Surge{initialized: true, observedAt: now, usualCPUs: r.UsualCPUs, number: r.Number, lastNumber: r.Number, startedAt: now}
}

// Record returns the record of the active surge; false if there is none.
func (s *Surge) Record() (SurgeRecord, bool) {
	return SurgeRecord{Number: s.number, UsualCPUs: s.usualCPUs}, s.number != 0
}

// Number returns the number of the active surge; 0 if there is none.
func (s *Surge) Number() uint64 { return s.number }

// Observe updates the state with a team's demand, in CPUs. machineCPUs is the number of CPUs of one
// machine, on which the thresholds depend; see surgeStartFactor and surgeEndFactor.
func (s *Surge) Observe(now time.Time, demand, machineCPUs float64) SurgeChange {
	if !s.initialized {
		// A new leader without a record uses the first demand that it observes as the usual demand.
		*s = Surge{initialized: true, observedAt: now, usualCPUs: demand, lastNumber: s.lastNumber}
		return Unchanged
	}
	elapsed := now.Sub(s.observedAt)
	s.observedAt = now
	if s.number != 0 {
		return s.observeSurge(now, demand, machineCPUs)
	}
	if demand > s.usualCPUs*surgeStartFactor+machineCPUs {
		s.number = max(s.lastNumber+1, uint64(now.UnixMilli()))
		s.lastNumber, s.startedAt, s.lowSince = s.number, now, time.Time{}
		return Started
	}
	s.usualCPUs += (demand - s.usualCPUs) * (1 - math.Exp(-elapsed.Seconds()/usualCPUsTimeConstant.Seconds()))
	return Unchanged
}

// observeSurge implements Observe while a surge is active.
func (s *Surge) observeSurge(now time.Time, demand, machineCPUs float64) SurgeChange {
	switch {
	case demand > s.usualCPUs*surgeEndFactor+machineCPUs/2:
		s.lowSince = time.Time{}
	case s.lowSince.IsZero():
		s.lowSince = now
	}
	demandLow := !s.lowSince.IsZero() && now.Sub(s.lowSince) >= surgeEndDelay
	expired := now.Sub(s.startedAt) >= maxSurgeDuration
	if !demandLow && !expired {
		return Unchanged
	}
	if expired {
		s.usualCPUs = demand
	}
	s.number = 0
	return Ended
}
