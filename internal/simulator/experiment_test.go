package simulator

import (
	"context"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

const smallExperiment = `{"name": "small", "machines": 6, "seconds": 20, "seeds": 1,
	"teams": [{"team": "guest", "jobsPerSecond": 0.5, "tasks": 4, "cpus": 1, "runSeconds": 8, "runSpread": 0.3, "saveSeconds": 0.5, "images": 2, "imageGb": 1, "popularity": 1}],
	"surges": [{"team": "guest", "from": 5, "until": 15, "times": 3}],
	"balance": {"ceilingShare": 0.5, "tradeSeconds": 10, "moves": true}}`

// TestExperimentFile checks that an invalid experiment file gives a one-line error that names the
// field.
func TestExperimentFile(t *testing.T) {
	if _, err := ParseExperiment([]byte(smallExperiment)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, field string }{
		{`"machines": 6`, `"machines": 0`, "machines"}, {`"seconds": 20`, `"seconds": 1e9`, "seconds"}, {`"seeds": 1`, `"seeds": -1`, "seeds"},
		{`"name": "small"`, `"name": ""`, "name"}, {`"name"`, `"nome"`, "nome"}, {`"team": "guest", "jobs`, `"team": "green", "jobs`, "teams[0].team"},
		{`"jobsPerSecond": 0.5`, `"jobsPerSecond": 0`, "teams[0].jobsPerSecond"}, {`"tasks": 4`, `"tasks": "4"`, "tasks"}, {`"images": 2`, `"images": 0`, "teams[0].images"},
		{`"runSpread": 0.3`, `"runSpread": -1`, "teams[0].runSpread"}, {`{"team": "guest", "from"`, `{"team": "red", "from"`, "surges[0].team"},
		{`"until": 15`, `"until": 4`, "surges[0].until"}, {`"times": 3`, `"times": 0`, "surges[0].times"}, {`"ceilingShare": 0.5`, `"ceilingShare": 2`, "ceilingShare"},
		{`"ceilingShare": 0.5`, `"ceiling": 1`, "ceiling"}, {`"moves": true}}`, `"moves": true}} {}`, "more than one"},
	} {
		raw := strings.Replace(smallExperiment, c.old, c.new, 1)
		if raw == smallExperiment {
			t.Fatalf("the sample experiment does not contain %q", c.old)
		}
		if _, err := ParseExperiment([]byte(raw)); err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that contains %q", c.new, err, c.field)
		}
	}
	raw, err := os.ReadFile("../../docs/experiments/surge.json")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseExperiment(raw); err != nil {
		t.Error(err)
	}
}

// plausible reports whether the figures of an outcome are consistent and not zero.
func plausible(o *Outcome) bool {
	return len(o.MaxLoad) == 20 && o.MeanLoad[15] > 0 && o.MaxLoad[15] >= o.MeanLoad[15] && o.ImageHitRate > 0 && o.FetchedGB > 0 && o.Waits["guest"].P99 > 0
}

// TestExperiment checks that an experiment gives the same outcome every time, violates no invariant
// and fills in its figures.
func TestExperiment(t *testing.T) {
	e, err := ParseExperiment([]byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	progressCalls := 0
	run := func() []Outcome {
		outcomes, err := e.Run(context.Background(), func(string, int, int) { progressCalls++ })
		if err != nil {
			t.Fatal(err)
		}
		return outcomes
	}
	outcomes := run()
	if !reflect.DeepEqual(outcomes, run()) || progressCalls != 4 {
		t.Errorf("the second run has another outcome, or progress was reported %d times, want 4", progressCalls)
	}
	for _, o := range outcomes {
		if len(o.Violations) > 0 || o.Jobs == 0 || o.Done != o.Jobs || !plausible(&o) {
			t.Errorf("violations, unfinished jobs or implausible figures: %+v", o)
		}
	}
	if off, on := outcomes[0], outcomes[1]; off.Migrations != 0 || on.AboveCeilingShare >= off.AboveCeilingShare {
		t.Errorf("%d migrations with balancing off; share above the ceiling %.3f with it off and %.3f with it on", off.Migrations, off.AboveCeilingShare, on.AboveCeilingShare)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := e.Run(cancelled, func(string, int, int) {}); err == nil {
		t.Error("the experiment runs to its end although its context is cancelled")
	}
	if _, err := json.Marshal(outcomes); err != nil {
		t.Error(err)
	}
}
