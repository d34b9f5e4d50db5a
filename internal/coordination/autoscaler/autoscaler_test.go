package autoscaler

import (
	"testing"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

func catalog() Catalog {
	return Catalog{Spot: true, Types: map[string]*protocol.MachineType{
		"small": {Name: "small", CPUs: 4, MemoryGB: 16, PricePerHour: 4, SpotPricePerHour: 2, Zones: []string{"a", "b"}},
		"large": {Name: "large", CPUs: 16, MemoryGB: 64, PricePerHour: 12, Zones: []string{"a"}},
	}}
}

func all(OfferKey) bool { return true }

func job(change func(*protocol.Job)) *protocol.Job {
	j := &protocol.Job{ID: "run-000001", Team: "red", Tasks: 8, CPUs: 1, MemoryGB: 1, AllowSpot: true}
	change(j)
	return j
}

func demandOf(j *protocol.Job, tasks int) Demand {
	return Demand{Job: j, Shape: placement.KeyOf(j), Tasks: tasks,
		TooExpensive: func(Offer) bool { return false }, Starving: func() bool { return false }}
}

func planFor(limit int, booting ...*Bin) *Plan {
	p := NewPlan(catalog().Offers(all), booting, map[string]*Quota{"red": {CPUs: 100, GPUs: 100}})
	p.Limit = limit
	return p
}

func planned(p *Plan) (count int) {
	for _, r := range p.Requests() {
		count += r.Count
	}
	return count
}

func TestOffersByPrice(t *testing.T) {
	offers := catalog().Offers(func(k OfferKey) bool { return k != OfferKey{"small", "b", true} })
	want := []OfferKey{{"small", "a", true}, {"large", "a", false}, {"small", "a", false}, {"small", "b", false}}
	if len(offers) != len(want) {
		t.Fatalf("%d offers", len(offers))
	}
	for i, o := range offers {
		if o.Key() != want[i] {
			t.Errorf("offer %d is %+v, want %+v", i, o.Key(), want[i])
		}
	}
}

func TestBestOffer(t *testing.T) {
	anywhere := func(string) bool { return true }
	for _, test := range []struct {
		name  string
		job   *protocol.Job
		tasks int
		want  OfferKey
	}{
		{"a few tasks", job(func(*protocol.Job) {}), 4, OfferKey{"small", "a", true}},
		{"many, not on spot machines", job(func(j *protocol.Job) { j.AllowSpot = false }), 16, OfferKey{"large", "a", false}},
		{"a few, not on spot machines", job(func(j *protocol.Job) { j.AllowSpot = false }), 3, OfferKey{"small", "a", false}},
		{"in a zone", job(func(j *protocol.Job) { j.Zone = "b" }), 4, OfferKey{"small", "b", true}},
		{"only on a large one", job(func(j *protocol.Job) { j.CPUs = 5 }), 1, OfferKey{"large", "a", false}},
	} {
		if got, ok := Best(catalog().Offers(all), test.job, test.tasks, anywhere); !ok || got.Key() != test.want {
			t.Errorf("%s: %t %+v", test.name, ok, got.Key())
		}
	}
	if _, ok := Best(catalog().Offers(all), job(func(j *protocol.Job) { j.CPUs = 17 }), 1, anywhere); ok {
		t.Error("a task larger than any machine gets an offer")
	}
}

func TestTooExpensive(t *testing.T) {
	c := catalog()
	ordinary, spot := Offer{c.Types["small"], "a", false}, Offer{c.Types["small"], "a", true}
	j := job(func(*protocol.Job) {})
	if !c.TooExpensive(j, ordinary) || c.TooExpensive(j, spot) {
		t.Error("twice the lowest price isn't too much, or the lowest is")
	}
	if fixed := job(func(j *protocol.Job) { j.AllowSpot = false }); c.TooExpensive(fixed, ordinary) {
		t.Error("the price of machines that a job may not use counts")
	}
}

func TestPlanUsesWhatBoots(t *testing.T) {
	small := Offer{catalog().Types["small"], "a", true}
	p := planFor(10, NewBin(small))
	j := job(func(*protocol.Job) {})
	p.Expect(j)
	p.Add(demandOf(j, 6)) // four in the machine that boots
	if got := planned(p); got != 1 {
		t.Errorf("%d machines for six tasks beside one that boots", got)
	}
	p.AddDisplaced(j, placement.KeyOf(j), 2)
	if got := planned(p); got != 1 {
		t.Errorf("%d machines, two replicas had room in those that are planned", got)
	}
	if free, taken := p.CountRoom(0, 0); free != 0 || taken != 8 {
		t.Errorf("%g CPUs free, %g taken", free, taken)
	}
	if cpus, ok := p.AddCheapest(); !ok || cpus != 4 || planned(p) != 2 || p.Booting() != 3 {
		t.Errorf("headroom: %g CPUs, %d machines", cpus, planned(p))
	}
}

func TestPlanKeepsItsBounds(t *testing.T) {
	j := job(func(j *protocol.Job) { j.Tasks = 100 })
	p := planFor(2)
	p.Expect(j)
	if p.Add(demandOf(j, 100)); planned(p) != 2 || !p.Full() {
		t.Errorf("%d machines, two are allowed", planned(p))
	}
	p = planFor(100)
	p.quotas["red"].CPUs = 8
	if p.Add(demandOf(j, 100)); planned(p) != 2 {
		t.Errorf("%d machines for a quota of 8 CPUs", planned(p))
	}
	spread := job(func(j *protocol.Job) { j.Spread, j.Tasks, j.CPUs = true, 4, 4 })
	p = planFor(100)
	p.Add(demandOf(spread, 4))
	if requests := p.Requests(); len(requests) != 2 || requests[0].Count != 2 || requests[1].Count != 2 {
		t.Errorf("a job that spreads: %+v", requests)
	}
}

func TestExpensiveOffersOnlyForTheStarving(t *testing.T) {
	j := job(func(*protocol.Job) {})
	for _, starving := range []bool{false, true} {
		d := demandOf(j, 8)
		d.TooExpensive = func(Offer) bool { return true }
		d.Starving = func() bool { return starving }
		p := planFor(10)
		p.Add(d)
		if got := planned(p) == 1; got != starving || planned(p) > 1 {
			t.Errorf("starving %t: %d machines", starving, planned(p))
		}
	}
}
