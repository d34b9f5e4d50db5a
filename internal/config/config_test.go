package config

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

const validSettings = `
host_name = "n0"
domain = "a"
public_addr = "10.0.0.1:8080"
back = "10.0.0.1:8081"
unknown = 1
[[seeds]]
host_name = "n1"
domain = "b"
endpoint = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
time_bound_ms = 5.0
[[facts.teams]]
name = "red"
cpus = 1.0
cpus_max = 2.0
[[facts.objectives]]
kind = "wait"
class = "c"
within_s = 3.0
share = 0.8
[facts.workers]
report_s = 3.0
lease_s = 28.0
cancel_s = 48.0
[facts.state]
rps = 120.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 16
[facts.cloud]
rps = 2.0
list_lag_s = 12.0
[facts.quota]
cpu = 0.096
ram_mb = 98.0
sockets = 900
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "n0" || s.WorkerLease != 28*time.Second || s.MaxValueBytes != 8192 || s.Peers[0].Zone != "b" ||
		s.Objectives[0].Within != 3*time.Second || s.MemoryBytes != 98<<20 {
		t.Errorf("got %+v", s)
	}
	if s.Teams[0].MaxCPUs != 2 || s.Teams[0].MaxGPUs != NoLimit {
		t.Errorf("limits of the team: got %+v", s.Teams)
	}
	unlimited, err := Parse([]byte(strings.Replace(validSettings, "cpus = 1.0\ncpus_max = 2.0", "cpus = 0.0\ncpus_max = 0.0", 1)))
	if err != nil || unlimited.Teams[0].GuaranteedCPUs != 0 || unlimited.Teams[0].MaxCPUs != NoLimit {
		t.Errorf("a team without guarantee and limit: got %+v, %v", unlimited, err)
	}
}

func TestParseRejects(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`public_addr = "10.0.0.1:8080"`, ``, "public_addr is missing"},
		{`public_addr = "10.0.0.1:8080"`, `public_addr = "here"`, "not an IP address"},
		{`host_name = "n1"`, `host_name = "n0"`, "used more than once"},
		{`lease_s = 28.0`, `lease_s = 0.0`, "lease_s is 0, must be above 0"},
		{`lease_s = 28.0`, `lease_s = 46.0`, "cancel_s is 48, must exceed lease_s, which is 46, by 3s"},
		{`lease_s = 28.0`, `lease_s = nan`, "lease_s is NaN, must be above 0"},
		{`cpus_max = 2.0`, `cpus_max = 0.5`, "maximum below its guarantee"},
		{`txn_ops = 16`, ``, "txn_ops is 0, must be above 0"},
		{`txn_ops = 16`, `txn_ops = 1`, "txn_ops is 1, must be 2 or more"},
		{`value_kb = 8.0`, `value_kb = 0.5`, "value_kb is 0.5, must be 1 or more"},
		{`sockets = 900`, `sockets = 10`, "sockets is 10, must be 32 or more"},
		{`domain = "a"`, ``, "domain is missing"},
		{`[facts.cloud]`, `[[facts.cloud]]`, "settings"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: error %v, want %q", c.to, c.from, err, c.want)
		}
	}
}

// TestParseLargeFleet checks that settings for a fleet of tens of thousands of machines are
// accepted.
func TestParseLargeFleet(t *testing.T) {
	large := strings.NewReplacer("cpus = 1.0\ncpus_max = 2.0", "cpus = 800000.0\ncpus_max = 3200000.0", "rps = 120.0", "rps = 20000.0",
		"write_rps = 40.0", "write_rps = 8000.0", "sockets = 900", "sockets = 200000", "ram_mb = 98.0", "ram_mb = 65536.0",
		"txn_ops = 16", "txn_ops = 4096", "value_kb = 8.0", "value_kb = 1024.0", "rps = 2.0", "rps = 500.0").Replace(validSettings)
	s, err := Parse([]byte(large))
	if err != nil || s.MaxSockets != 200000 || s.Teams[0].MaxCPUs != 3.2e6 {
		t.Errorf("got %+v, %v", s, err)
	}
}

// TestEncode checks that settings survive encoding and parsing.
func TestEncode(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	s.Teams = append(s.Teams, Team{Name: "guest", MaxCPUs: NoLimit, MaxGPUs: NoLimit})
	s.Objectives = append(s.Objectives, Objective{Kind: "finished", Class: "c", Within: time.Minute, After: time.Second, Share: 0.5, RuntimeMultiple: 2})
	raw, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse(raw)
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("round trip: got %+v, %v, want %+v", got, err, s)
	}
}

func TestOperator(t *testing.T) {
	o := DefaultOperator()
	if err := ParseOperator([]byte(`{"imageWeight": 2.5, "spot": false}`), &o); err != nil {
		t.Fatal(err)
	}
	if o.ImageCacheWeight != 2.5 || o.AllowSpot || o.FreeShareWeight != DefaultOperator().FreeShareWeight {
		t.Errorf("got %+v", o)
	}
	for _, bad := range []string{`{"imageWeight": "1"}`, `{"nope": 1}`, `[]`, `{"idleSeconds": -1}`, `{`,
		`null`, `{} {}`, `{"ImageWeight": 1}`, `{"imageWeight": 1001}`, `{"imageWeight": null}`, `{"leaderLeaseSeconds": 0.5}`,
		`{"sharding": true}`, `{"sharding": {"shardsPerController": 0}}`, `{"sharding": {"shardsPerController": 17}}`,
		`{"sharding": {"shardsPerController": 1.5}}`, `{"sharding": {"nope": 1}}`, `{"sharding": {"drain": "yes"}}`,
		`{"spot": 1}`, `{"headroomShare": [1]}`} {
		if err := ParseOperator([]byte(bad), &o); err == nil {
			t.Errorf("operator settings %s are accepted", bad)
		}
	}
	example, err := LoadOperator("../../deploy/operator.example.json")
	if err != nil || example != DefaultOperator() {
		t.Errorf("deploy/operator.example.json differs from the defaults: %+v, %v", example, err)
	}
}

// TestBalanceSettings checks that an invalid balance setting causes an error of one line that
// names it, that omitted settings have their defaults, and that deploy/operator.balance.json
// holds the defaults with migrations enabled.
func TestBalanceSettings(t *testing.T) {
	for raw, names := range map[string]string{
		`{"balance": {"ceilingShare": 0}}`:                "ceilingShare",
		`{"balance": {"ceilingShare": 1.5}}`:              "ceilingShare",
		`{"balance": {"fetchQueueSeconds": 0}}`:           "fetchQueueSeconds",
		`{"balance": {"tradeSeconds": -1}}`:               "tradeSeconds",
		`{"balance": {"tradeSeconds": "2"}}`:              "tradeSeconds",
		`{"balance": {"ceiling": 0.5}}`:                   "ceiling",
		`{"balance": {"moves": 1}}`:                       "moves",
		`{"balance": {"moves": true, "moveMargin": 0.5}}`: "moveMargin",
		`{"balance": {"moveMargin": 2}}`:                  "moves",
		`{"balance": true}`:                               "balance",
	} {
		o := DefaultOperator()
		err := ParseOperator([]byte(raw), &o)
		if err == nil || !strings.Contains(err.Error(), names) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line that names the setting", raw, err)
		}
	}
	o := DefaultOperator()
	if err := ParseOperator([]byte(`{"balance": {"ceilingShare": 0.25}}`), &o); err != nil || o.Balance == nil ||
		*o.Balance != (Balance{CeilingShare: 0.25, MaxFetchBacklogSeconds: 20, LoadPenaltySeconds: 2, MigrationMargin: 1.5}) {
		t.Errorf("balance with a ceilingShare alone: error %v, got %+v", err, o.Balance)
	}
	deployed := defaultBalance
	deployed.AllowMigrations = true
	if o, err := LoadOperator("../../deploy/operator.balance.json"); err != nil || o.Balance == nil || *o.Balance != deployed {
		t.Errorf("deploy/operator.balance.json: error %v, got %+v", err, o.Balance)
	}
	if o := DefaultOperator(); o.Balance != nil {
		t.Error("balance is enabled by default")
	}
}
