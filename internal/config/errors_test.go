package config

import (
	"errors"
	"strings"
	"testing"
)

// TestSettingsErrors fixes the texts of the errors that operators get for invalid settings: each
// names the setting, and most the value.
func TestSettingsErrors(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`host_name = "n0"`, ``, "settings: host_name is missing"},
		{`domain = "a"`, ``, "settings: domain is missing"},
		{`public_addr = "10.0.0.1:8080"`, ``, "settings: public_addr is missing"},
		{`back = "10.0.0.1:8081"`, `back = "here"`, `settings: back: "here" is not an IP address with a port`},
		{`cloud = "10.2.0.2:8443"`, ``, "settings: endpoints.cloud is missing"},
		{`state = "10.2.0.1:2379"`, `state = "x:1"`, `settings: endpoints.state: "x:1" is not an IP address with a port`},
		{`host_name = "n1"`, ``, "settings: an entry of seeds has no host_name"},
		{`host_name = "n1"`, `host_name = "n0"`, `settings: host_name "n0" is used more than once`},
		{`endpoint = "10.0.0.2:8081"`, ``, "settings: endpoint of seed n1 is missing"},
		{`endpoint = "10.0.0.2:8081"`, `endpoint = "?"`, `settings: endpoint of seed n1: "?" is not an IP address with a port`},
		{`name = "red"`, `name = ""`, `settings: team "" has an empty name or that of another team`},
		{`cpus = 1.0`, `cpus = -1.0`, `settings: team "red" has an amount of -1, must be 0 or more and finite`},
		{`cpus_max = 2.0`, `cpus_max = inf`, `settings: team "red" has an amount of +Inf, must be 0 or more and finite`},
		{`cpus_max = 2.0`, `cpus_max = 0.5`, `settings: team "red" has a maximum below its guarantee: cpus 1, cpus_max 0.5, gpus 0, gpus_max 0`},
		{"[[facts.teams]]\nname = \"red\"\ncpus = 1.0\ncpus_max = 2.0\n", ``, "settings: facts.teams is missing"},
		{`report_s = 3.0`, `report_s = 0.0`, "settings: facts.workers.report_s is 0, must be above 0 and at most 1e+09"},
		{`rps = 2.0`, `rps = 2e9`, "settings: facts.cloud.rps is 2e+09, must be above 0 and at most 1e+09"},
		{`txn_ops = 16`, `txn_ops = 1`, "settings: facts.state.txn_ops is 1, must be 2 or more"},
		{`value_kb = 8.0`, `value_kb = 0.5`, "settings: facts.state.value_kb is 0.5, must be 1 or more"},
		{`sockets = 900`, `sockets = 10`, "settings: facts.quota.sockets is 10, must be 32 or more"},
		{`list_lag_s = 12.0`, `list_lag_s = -1.0`, "settings: facts.cloud.list_lag_s and facts.time_bound_ms are -1 and 5, must be 0 or more"},
		{`time_bound_ms = 5.0`, `time_bound_ms = nan`, "settings: facts.cloud.list_lag_s and facts.time_bound_ms are 12 and NaN, must be 0 or more"},
		{`lease_s = 28.0`, `lease_s = 46.0`, "settings: facts.workers.cancel_s is 48, must exceed lease_s, which is 46, by 3s or more"},
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

// TestOperatorErrors checks the text and the type of errors about the operators' settings.
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
