package config

import (
	"errors"
	"strings"
	"testing"
)

// Operators read what is wrong with the settings: the texts stay as they are.
func TestSettingsErrors(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`host_name = "n0"`, ``, "settings: host_name is missing"},
		{`domain = "a"`, ``, "settings: domain is missing"},
		{`public_addr = "10.0.0.1:8080"`, ``, "settings: public_addr is missing"},
		{`back = "10.0.0.1:8081"`, `back = "here"`, `settings: back: "here" is not an address with a port`},
		{`cloud = "10.2.0.2:8443"`, ``, "settings: endpoints.cloud is missing"},
		{`state = "10.2.0.1:2379"`, `state = "x:1"`, `settings: endpoints.state: "x:1" is not an address with a port`},
		{`host_name = "n1"`, ``, "settings: a seed has no host_name"},
		{`host_name = "n1"`, `host_name = "n0"`, `settings: host "n0" is named twice`},
		{`endpoint = "10.0.0.2:8081"`, ``, "settings: endpoint of seed n1 is missing"},
		{`endpoint = "10.0.0.2:8081"`, `endpoint = "?"`, `settings: endpoint of seed n1: "?" is not an address with a port`},
		{`name = "red"`, `name = ""`, `settings: team "" has no name of its own`},
		{`cpus = 1.0`, `cpus = -1.0`, `settings: team "red" has an impossible amount`},
		{`cpus_max = 2.0`, `cpus_max = inf`, `settings: team "red" has an impossible amount`},
		{`cpus_max = 2.0`, `cpus_max = 0.5`, `settings: team "red" has a maximum below its guarantee`},
		{"[[facts.teams]]\nname = \"red\"\ncpus = 1.0\ncpus_max = 2.0\n", ``, "settings: facts.teams is missing"},
		{`report_s = 3.0`, `report_s = 0.0`, "settings: facts.workers.report_s must be above zero"},
		{`rps = 2.0`, `rps = 2e9`, "settings: facts.cloud.rps must be above zero"},
		{`txn_ops = 16`, `txn_ops = 1`, "settings: facts.state.txn_ops must be 2 or more"},
		{`value_kb = 8.0`, `value_kb = 0.5`, "settings: facts.state.value_kb must be 1 or more"},
		{`sockets = 900`, `sockets = 10`, "settings: facts.quota.sockets must be 32 or more"},
		{`list_lag_s = 12.0`, `list_lag_s = -1.0`, "settings: facts.cloud.list_lag_s and facts.time_bound_ms must not be negative"},
		{`time_bound_ms = 5.0`, `time_bound_ms = nan`, "settings: facts.cloud.list_lag_s and facts.time_bound_ms must not be negative"},
		{`lease_s = 28.0`, `lease_s = 46.0`, "settings: facts.workers.cancel_s must exceed lease_s by 3s or more"},
		{`[facts.cloud]`, `[[facts.cloud]]`, "settings: toml: cannot store an array table in a struct"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, test.from, test.to, 1)))
		if err == nil || err.Error() != test.want {
			t.Errorf("%q for %q: error %q, want %q", test.to, test.from, err, test.want)
		}
		var setting *SettingError
		if errors.As(err, &setting) == strings.HasPrefix(test.want, "settings: toml") {
			t.Errorf("%q for %q: error of type %T", test.to, test.from, err)
		}
	}
}

// Operators read what is wrong with their own settings.
func TestOperatorErrors(t *testing.T) {
	for _, test := range []struct{ raw, want string }{
		{`{`, "operator settings: unexpected end of JSON input"},
		{`{"nope": 1}`, "operator settings: "},
	} {
		o := DefaultOperator()
		err := ParseOperator([]byte(test.raw), &o)
		if err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%s: error %q, want %q", test.raw, err, test.want)
		}
		var operator *OperatorError
		if !errors.As(err, &operator) || operator.Err == nil {
			t.Errorf("%s: error of type %T", test.raw, err)
		}
	}
}
