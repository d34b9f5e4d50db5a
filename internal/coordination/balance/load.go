package balance

import (
	"time"

	"brasskeel/internal/coordination/placement"
)

// Team numbers a team for one leadership.
type Team int32

// Load is what one machine has to do.
type Load struct {
	teams   []teamLoad
	Fetches PendingFetches
	Speed   Speed
}

// teamLoad is what a team's attempts take.
type teamLoad struct {
	team  Team
	tasks int
	placement.Resources
}

// AddAttempt counts an attempt of a team's that isn't proven gone.
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

// RemoveAttempt takes an attempt out that is proven gone.
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

// TeamUsage is what a team's attempts take, and how many they are.
func (l *Load) TeamUsage(team Team) (r placement.Resources, tasks int) {
	for i := range l.teams {
		if t := &l.teams[i]; t.team == team {
			return t.Resources, t.tasks
		}
	}
	return r, 0
}

// DominantShare is the part of a machine that some amounts take, of the resource that they take most
// of.
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

// ResetFetches forgets what the machine's worker lost.
func (l *Load) ResetFetches() { l.Fetches = PendingFetches{} }

// PendingFetches are the image fetches that attempts on a machine wait for. Those that go on at the
// same time share the machine's rate.
type PendingFetches struct {
	list      []fetch
	updatedAt time.Time // as of when what is left is known
}

type fetch struct {
	image       placement.ImageID
	remainingGB float64 // GB
	waiting     int     // attempts
}

// Add notes that an attempt waits for an image that isn't there.
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

// Complete notes that an image is there.
func (f *PendingFetches) Complete(now time.Time, image placement.ImageID, rate float64) {
	f.advance(now, rate)
	f.remove(image)
}

// Cancel notes that an attempt waits no more. The last one's fetch is given up.
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

func (f *PendingFetches) remove(image placement.ImageID) {
	for i := range f.list {
		if f.list[i].image == image {
			f.list = append(f.list[:i], f.list[i+1:]...)
			return
		}
	}
}

// Backlog is how long the fetches under way still take together.
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

// advance lets time pass, in which each fetch that has something left gets its part of the
// rate.
func (f *PendingFetches) advance(now time.Time, rate float64) {
	elapsed := now.Sub(f.updatedAt).Seconds()
	f.updatedAt = now
	for elapsed > 0 && rate > 0 {
		under, least := 0, 0.0
		for i := range f.list {
			if left := f.list[i].remainingGB; left > 0 {
				if under == 0 || left < least {
					least = left
				}
				under++
			}
		}
		if under == 0 {
			return
		}
		each := min(least, elapsed*rate/float64(under))
		for i := range f.list {
			f.list[i].remainingGB = max(0, f.list[i].remainingGB-each)
		}
		elapsed -= each * float64(under) / rate
		if each < least {
			return
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
