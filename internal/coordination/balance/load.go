package balance

import (
	"time"

	"brasskeel/internal/coordination/placement"
)

// Team is a number that identifies a team, valid for one leader's term.
type Team int32

// Load is the load of one machine.
type Load struct {
	teams   []teamLoad
	Fetches PendingFetches
	Speed   Speed
}

// teamLoad is the number of a team's attempts and the resources that they use.
type teamLoad struct {
	team  Team
	tasks int
	placement.Resources
}

// AddAttempt adds an attempt of a team. It counts until it is proven terminated; see RemoveAttempt.
func (l *Load) AddAttempt(team Team, r placement.Resources) {
	for i := range l.teams {
		if t := &l.teams[i]; t.team == team {
			t.tasks++
			t.Resources = t.Plus(r)
			return
		}
	}
	l.teams = append(l.teams, teamLoad{team, 1, r})
}

// RemoveAttempt removes an attempt that is proven terminated.
func (l *Load) RemoveAttempt(team Team, r placement.Resources) {
	for i := range l.teams {
		t := &l.teams[i]
		if t.team != team {
			continue
		}
		t.Resources = t.Minus(r)
		if t.tasks--; t.tasks <= 0 {
			last := len(l.teams) - 1
			l.teams[i] = l.teams[last]
			l.teams = l.teams[:last]
		}
		return
	}
}

// TeamUsage returns the resources that a team's attempts use, and the number of attempts.
func (l *Load) TeamUsage(team Team) (r placement.Resources, tasks int) {
	for i := range l.teams {
		if t := &l.teams[i]; t.team == team {
			return t.Resources, t.tasks
		}
	}
	return r, 0
}

// DominantShare returns the largest share that r uses of the capacity of any resource.
func DominantShare(r, capacity placement.Resources) float64 {
	share := 0.0
	if capacity.CPUs > 0 {
		share = r.CPUs / capacity.CPUs
	}
	if capacity.GPUs > 0 {
		share = max(share, r.GPUs/capacity.GPUs)
	}
	if capacity.MemGB > 0 {
		share = max(share, r.MemGB/capacity.MemGB)
	}
	return share
}

// ResetFetches discards the pending fetches, which a worker loses when it restarts.
func (l *Load) ResetFetches() { l.Fetches = PendingFetches{} }

// PendingFetches are the image fetches that attempts on a machine wait for. Concurrent fetches
// share the machine's fetch rate equally.
type PendingFetches struct {
	list      []fetch
	updatedAt time.Time // the time as of which remainingGB is correct
}

// fetch is the pending fetch of one image.
type fetch struct {
	image       placement.ImageID
	remainingGB float64
	waiting     int // attempts that wait for the image
}

// Add records that an attempt waits for an image that isn't cached. rate is the fetch rate of the
// machine, in GB per second.
func (f *PendingFetches) Add(now time.Time, image placement.ImageID, gb, rate float64) {
	f.advance(now, rate)
	for i := range f.list {
		if f.list[i].image == image {
			f.list[i].waiting++
			return
		}
	}
	f.list = append(f.list, fetch{image, gb, 1})
}

// Complete records that an image has been fetched, for all attempts that waited for it.
func (f *PendingFetches) Complete(now time.Time, image placement.ImageID, rate float64) {
	f.advance(now, rate)
	f.remove(image)
}

// Cancel records that an attempt no longer waits for an image. The fetch ends with the last
// attempt that waits for it.
func (f *PendingFetches) Cancel(now time.Time, image placement.ImageID, rate float64) {
	f.advance(now, rate)
	for i := range f.list {
		if k := &f.list[i]; k.image == image {
			if k.waiting--; k.waiting <= 0 {
				f.remove(image)
			}
			return
		}
	}
}

// remove removes the fetch of an image, if it is pending.
func (f *PendingFetches) remove(image placement.ImageID) {
	for i := range f.list {
		if f.list[i].image == image {
			f.list = append(f.list[:i], f.list[i+1:]...)
			return
		}
	}
}

// Backlog returns how long it takes to complete all pending fetches.
func (f *PendingFetches) Backlog(now time.Time, rate float64) time.Duration {
	if len(f.list) == 0 || rate <= 0 {
		return 0
	}
	f.advance(now, rate)
	left := 0.0
	for i := range f.list {
		left += f.list[i].remainingGB
	}
	return seconds(left / rate)
}

// advance updates the remaining sizes of the pending fetches to the time now. Since updatedAt, the
// unfinished fetches have shared the rate equally. A fetch whose computed remaining size is 0 stays
// pending until Complete or Cancel is called.
func (f *PendingFetches) advance(now time.Time, rate float64) {
	elapsed := now.Sub(f.updatedAt).Seconds()
	f.updatedAt = now
	for elapsed > 0 && rate > 0 {
		active, smallest := 0, 0.0
		for i := range f.list {
			if left := f.list[i].remainingGB; left > 0 {
				if active == 0 || left < smallest {
					smallest = left
				}
				active++
			}
		}
		if active == 0 {
			return
		}
		// Until the smallest fetch completes, all active fetches progress by the same amount.
		each := min(smallest, elapsed*rate/float64(active))
		for i := range f.list {
			f.list[i].remainingGB = max(0, f.list[i].remainingGB-each)
		}
		elapsed -= each * float64(active) / rate
		if each < smallest {
			return
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
