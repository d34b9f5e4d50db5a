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
	Fetches Fetches
	Speed   Speed
}

// teamLoad is what a team's attempts take.
type teamLoad struct {
	team  Team
	tasks int
	placement.Resources
}

// Reserve counts an attempt of a team's that isn't proven gone.
func (l *Load) Reserve(team Team, r placement.Resources) {
	for i := range l.teams {
		if t := &l.teams[i]; t.team == team {
			t.tasks++
			t.Resources = t.Plus(r)
			return
		}
	}
	l.teams = append(l.teams, teamLoad{team, 1, r})
}

// Release takes an attempt out that is proven gone.
func (l *Load) Release(team Team, r placement.Resources) {
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

// Reserved is what a team's attempts take, and how many they are.
func (l *Load) Reserved(team Team) (r placement.Resources, tasks int) {
	for i := range l.teams {
		if t := &l.teams[i]; t.team == team {
			return t.Resources, t.tasks
		}
	}
	return r, 0
}

// Share is the part of a machine that some amounts take, of the resource that they take most
// of.
func Share(r, capacity placement.Resources) float64 {
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

// Reset forgets what the machine's worker lost.
func (l *Load) Reset() { l.Fetches = Fetches{} }

// Fetches are the image fetches that attempts on a machine wait for. Those that go on at the
// same time share the machine's rate.
type Fetches struct {
	list []fetch
	at   time.Time // as of when what is left is known
}

type fetch struct {
	image   placement.ImageID
	left    float64 // GB
	waiting int     // attempts
}

// Add notes that an attempt waits for an image that isn't there.
func (f *Fetches) Add(now time.Time, image placement.ImageID, gb, rate float64) {
	f.advance(now, rate)
	for i := range f.list {
		if f.list[i].image == image {
			f.list[i].waiting++
			return
		}
	}
	f.list = append(f.list, fetch{image, gb, 1})
}

// Done notes that an image is there.
func (f *Fetches) Done(now time.Time, image placement.ImageID, rate float64) {
	f.advance(now, rate)
	f.drop(image)
}

// Cancel notes that an attempt waits no more. The last one's fetch is given up.
func (f *Fetches) Cancel(now time.Time, image placement.ImageID, rate float64) {
	f.advance(now, rate)
	for i := range f.list {
		if k := &f.list[i]; k.image == image {
			if k.waiting--; k.waiting <= 0 {
				f.drop(image)
			}
			return
		}
	}
}

func (f *Fetches) drop(image placement.ImageID) {
	for i := range f.list {
		if f.list[i].image == image {
			f.list = append(f.list[:i], f.list[i+1:]...)
			return
		}
	}
}

// Backlog is how long the fetches under way still take together.
func (f *Fetches) Backlog(now time.Time, rate float64) time.Duration {
	if len(f.list) == 0 || rate <= 0 {
		return 0
	}
	f.advance(now, rate)
	left := 0.0
	for i := range f.list {
		left += f.list[i].left
	}
	return seconds(left / rate)
}

// advance lets time pass, in which each fetch that has something left gets its part of the
// rate.
func (f *Fetches) advance(now time.Time, rate float64) {
	elapsed := now.Sub(f.at).Seconds()
	f.at = now
	for elapsed > 0 && rate > 0 {
		under, least := 0, 0.0
		for i := range f.list {
			if left := f.list[i].left; left > 0 {
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
			f.list[i].left = max(0, f.list[i].left-each)
		}
		elapsed -= each * float64(under) / rate
		if each < least {
			return
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
