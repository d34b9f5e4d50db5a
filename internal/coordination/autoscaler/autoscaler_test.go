package autoscaler

import (
	"testing"

	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
)

func testCatalog() Catalog {
	return Catalog{Spot: true, Types: map[string]*protocol.MachineType{
		"small": {Name: "small", CPUs: 4, MemoryGB: 16, PricePerHour: 4, SpotPricePerHour: 2, Zones: []string{"a", "b"}},
		"large": {Name: "large", CPUs: 16, MemoryGB: 64, PricePerHour: 12, Zones: []string{"a"}},
	}}
}

func anyOffer(OfferKey) bool { return true }

func testJob(change func(*protocol.Job)) *protocol.Job {
	j := &protocol.Job{ID: "run-000001", Team: "red", Tasks: 8, CPUs: 1, MemoryGB: 1, AllowSpot: true}
	change(j)
	return j
}

func demandOf(j *protocol.Job, tasks int) Demand {
	return Demand{Job: j, Shape: placement.ShapeKeyOf(j), Tasks: tasks,
		TooExpensive: func(Offer) bool { return false }, Starving: func() bool { return false }}
}

func testPlan(limit int, booting ...*Bin) *Plan {
	p := NewPlan(testCatalog().Offers(anyOffer), booting, map[string]*UnusedLimit{"red": {CPUs: 100, GPUs: 100}})
	p.Limit = limit
	return p
}

func plannedCount(p *Plan) (count int) {
	for _, r := range p.Requests() {
		count += r.Count
	}
	return count
}

func TestOffersByPrice(t *testing.T) {
	offers := testCatalog().Offers(func(k OfferKey) bool { return k != OfferKey{"small", "b", true} })
	want := []OfferKey{{"small", "a", true}, {"large", "a", false}, {"small", "a", false}, {"small", "b", false}}
	if len(offers) != len(want) {
		t.Fatalf("%d offers, want %d: all but the unavailable one", len(offers), len(want))
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
		{"a few tasks", testJob(func(*protocol.Job) {}), 4, OfferKey{"small", "a", true}},
		{"many tasks, not on spot machines", testJob(func(j *protocol.Job) { j.AllowSpot = false }), 16, OfferKey{"large", "a", false}},
		{"a few tasks, not on spot machines", testJob(func(j *protocol.Job) { j.AllowSpot = false }), 3, OfferKey{"small", "a", false}},
		{"in a zone", testJob(func(j *protocol.Job) { j.Zone = "b" }), 4, OfferKey{"small", "b", true}},
		{"fits only on a large machine", testJob(func(j *protocol.Job) { j.CPUs = 5 }), 1, OfferKey{"large", "a", false}},
	} {
		if got, ok := BestOffer(testCatalog().Offers(anyOffer), test.job, test.tasks, anywhere); !ok || got.Key() != test.want {
			t.Errorf("%s: found %t, offer %+v; want %+v", test.name, ok, got.Key(), test.want)
		}
	}
	if _, ok := BestOffer(testCatalog().Offers(anyOffer), testJob(func(j *protocol.Job) { j.CPUs = 17 }), 1, anywhere); ok {
		t.Error("offer found for a task larger than any machine")
	}
}

func TestTooExpensive(t *testing.T) {
	c := testCatalog()
	ordinary, spot := Offer{c.Types["small"], "a", false}, Offer{c.Types["small"], "a", true}
	j := testJob(func(*protocol.Job) {})
	if !c.TooExpensive(j, ordinary) || c.TooExpensive(j, spot) {
		t.Error("an offer at twice the lowest price must be too expensive, and the one at the lowest price must not")
	}
	if fixed := testJob(func(j *protocol.Job) { j.AllowSpot = false }); c.TooExpensive(fixed, ordinary) {
		t.Error("offer too expensive compared with spot machines, which the job may not use")
	}
}

func TestPlanUsesBootingMachines(t *testing.T) {
	small := Offer{testCatalog().Types["small"], "a", true}
	p := testPlan(10, NewBin(small))
	j := testJob(func(*protocol.Job) {})
	p.Expect(j)
	p.AddDemand(demandOf(j, 6)) // four of the tasks fit on the booting machine
	if got := plannedCount(p); got != 1 {
		t.Errorf("%d machines planned for six tasks of which four fit on a booting machine, want 1", got)
	}
	p.AddDisplaced(j, placement.ShapeKeyOf(j), 2)
	if got := plannedCount(p); got != 1 {
		t.Errorf("%d machines planned after two displaced replicas that fit on the planned one, want 1", got)
	}
	if free, taken := p.CountCapacity(0, 0); free != 0 || taken != 8 {
		t.Errorf("%g CPUs free and %g allocated on booting and planned machines, want 0 and 8", free, taken)
	}
	if cpus, ok := p.AddCheapest(); !ok || cpus != 4 || plannedCount(p) != 2 || p.BootingOrPlanned() != 3 {
		t.Errorf("AddCheapest added %g CPUs, %d machines planned; want 4 and 2, with 3 booting or planned", cpus, plannedCount(p))
	}
}

func TestPlanRespectsLimits(t *testing.T) {
	j := testJob(func(j *protocol.Job) { j.Tasks = 100 })
	p := testPlan(2)
	p.Expect(j)
	if p.AddDemand(demandOf(j, 100)); plannedCount(p) != 2 || !p.Full() {
		t.Errorf("%d machines planned, want 2, which is the limit, and a full plan", plannedCount(p))
	}
	p = testPlan(100)
	p.unusedLimits["red"].CPUs = 8
	if p.AddDemand(demandOf(j, 100)); plannedCount(p) != 2 {
		t.Errorf("%d machines planned with 8 CPUs left of the team's limit, want 2", plannedCount(p))
	}
	spread := testJob(func(j *protocol.Job) { j.Spread, j.Tasks, j.CPUs = true, 4, 4 })
	p = testPlan(100)
	p.AddDemand(demandOf(spread, 4))
	if requests := p.Requests(); len(requests) != 2 || requests[0].Count != 2 || requests[1].Count != 2 {
		t.Errorf("requests %+v for a job with Spread, want two machines in each of two zones", requests)
	}
}

func TestExpensiveOffersOnlyForStarvingJobs(t *testing.T) {
	j := testJob(func(*protocol.Job) {})
	for _, starving := range []bool{false, true} {
		d := demandOf(j, 8)
		d.TooExpensive = func(Offer) bool { return true }
		d.Starving = func() bool { return starving }
		p := testPlan(10)
		p.AddDemand(d)
		if got := plannedCount(p) == 1; got != starving || plannedCount(p) > 1 {
			t.Errorf("starving %t: %d machines planned; want one if starving, else none", starving, plannedCount(p))
		}
	}
}
