package protocol

import (
	"errors"
	"strings"
	"testing"
)

// Users read what is wrong with a submission: the texts stay as they are.
func TestSubmissionErrors(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{validSubmission, ``, "the body is not a JSON object"},
		{validSubmission, `[]`, "the body is not a JSON object"},
		{validSubmission, `{`, "bad JSON: unexpected end of JSON input"},
		{`"nameId":"run-000412"`, `"nameId":7`, "bad JSON: json: cannot unmarshal number into Go struct field wireJob.nameId of type string"},
		{`"nameId":"run-000412",`, ``, "nameId is missing or not a name"},
		{`"nameId":"run-000412"`, `"nameId":"job-000412"`, "nameId is not of the form run-000000"},
		{`"berth":"train"`, `"berth":""`, "berth is missing or not a name"},
		{`"crew":"vision"`, `"crew":"` + strings.Repeat("x", 201) + `"`, "crew is missing or not a name"},
		{`"hull":"img-07"`, `"hull":null`, "hull is missing or not a name"},
		{`"rig":"batch"`, `"rig":"cron"`, "rig is missing or unknown"},
		{`"precedence":"urgent"`, `"precedence":null`, "precedence is missing or unknown"},
		{`"oars":16`, `"oars":0`, "oars is missing or not within 1 to 100000"},
		{`"cpus":8.0`, `"cpus":-1`, "cpus is missing or not an amount"},
		{`"gpus":1.0,`, ``, "gpus is missing or not an amount"},
		{`"memGb":64.0`, `"memGb":1e10`, "memGb is missing or not an amount"},
		{`"pullGb":6.2`, `"pullGb":null`, "pullGb is missing or not an amount"},
		{`"passageS":240.0`, `"passageS":-1`, "passageS is missing or not a duration"},
		{`"mooringS":30.0`, `"mooringS":1e10`, "mooringS is missing or not a duration"},
		{`"stowS":4.0`, `"stowS":null`, "stowS is missing or not a duration"},
		{`"oneZone":true`, `"oneZone":null`, "oneZone is missing"},
		{`"apart":false`, `"apart":null`, "apart is missing"},
		{`"driftwood":true`, `"driftwood":null`, "driftwood is missing"},
		{`"hullForms":["g8"]`, `"hullForms":[]`, "hullForms names no type or too many"},
		{`"hullForms":["g8"]`, `"hullForms":["g8",""]`, "hullForms holds something that is not a name"},
		{`"harbour":null`, `"harbour":""`, "harbour is not a name"},
		{`"tideS":900.0`, `"tideS":-1`, "tideS is not a duration"},
	} {
		_, err := ParseJob([]byte(strings.Replace(validSubmission, test.from, test.to, 1)))
		if err == nil || err.Error() != test.want {
			t.Errorf("%.60s: error %q, want %q", test.to, err, test.want)
		}
		var field *FieldError
		ofField := !errors.Is(err, ErrNotObject) && !strings.HasPrefix(test.want, "bad JSON")
		if errors.As(err, &field) != ofField || ofField && field.Error() != test.want {
			t.Errorf("%.60s: %T, naming %+v", test.to, err, field)
		}
	}
}

// Operators read these texts in the output of commands and in logs.
func TestResponseErrors(t *testing.T) {
	const impossible = "an answer that makes no sense"
	for _, test := range []struct {
		name string
		err  error
		want string
	}{
		{"types", errorOf(ParseMachineTypes([]byte(`{"hullForms":[]}`))), impossible},
		{"type", errorOf(ParseMachineTypes([]byte(`{"hullForms":[{"label":"a"}]}`))), impossible},
		{"names", errorOf(ParseMachineNames([]byte(`{}`))), impossible},
		{"key", errorOf(ParseKeyValue([]byte(`{"path":"a"}`))), impossible},
		{"revision", errorOf(ParseRevision([]byte(`{}`))), impossible},
		{"failed", errorOf(ParseFailedConditions([]byte(`{"failed":[]}`))), impossible},
		{"lease", errorOf(ParseLease([]byte(`{}`))), impossible},
		{"heartbeat", errorOf(ParseHeartbeat([]byte(`{}`))), "not a worker's report"},
		{"notice", errorOf(ParseHeartbeat([]byte(`{"deck":"m","watch":1,"logSeq":1,"recallS":1e10}`))), "not a worker's report"},
	} {
		if test.err == nil || test.err.Error() != test.want {
			t.Errorf("%s: error %v, want %q", test.name, test.err, test.want)
		}
		var field *FieldError
		if !errors.As(test.err, &field) || field.Field == "" || field.Reason == "" {
			t.Errorf("%s: %v names no field", test.name, test.err)
		}
		if errors.Is(test.err, ErrInvalidHeartbeat) != (test.want != impossible) || errors.Is(test.err, ErrInvalidResponse) != (test.want == impossible) {
			t.Errorf("%s: %v is of the wrong message", test.name, test.err)
		}
	}
}

func errorOf[T any](_ T, err error) error { return err }
