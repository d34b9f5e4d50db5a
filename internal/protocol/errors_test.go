package protocol

import (
	"errors"
	"strings"
	"testing"
)

// TestSubmissionErrors fixes the texts of the errors that users receive for an invalid
// submission: clients may match them.
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
		wantField := !errors.Is(err, ErrNotObject) && !strings.HasPrefix(test.want, "bad JSON")
		if errors.As(err, &field) != wantField || wantField && field.Error() != test.want {
			t.Errorf("%.60s: error of type %T with FieldError %+v; want a FieldError: %t", test.to, err, field, wantField)
		}
	}
}

// TestResponseErrors checks the errors about responses and heartbeats: each names the field and
// the reason, and wraps the sentinel of its kind of message.
func TestResponseErrors(t *testing.T) {
	const invalidResponse, invalidHeartbeat = "invalid response", "not a worker's report"
	for _, test := range []struct {
		name   string
		err    error
		prefix string
		detail string
	}{
		{"types", errorOf(ParseMachineTypes([]byte(`{"hullForms":[]}`))), invalidResponse, "hullForms is missing"},
		{"type", errorOf(ParseMachineTypes([]byte(`{"hullForms":[{"label":"a"}]}`))), invalidResponse,
			"hullForms has cpus of 0 or less, or a negative memGb, gpus or rate"},
		{"names", errorOf(ParseMachineNames([]byte(`{}`))), invalidResponse, "decks is missing"},
		{"key", errorOf(ParseKeyValue([]byte(`{"path":"a"}`))), invalidResponse, "entry is missing"},
		{"revision", errorOf(ParseRevision([]byte(`{}`))), invalidResponse, "logbook is missing"},
		{"failed", errorOf(ParseFailedConditions([]byte(`{"failed":[]}`))), invalidResponse, "failed names no condition"},
		{"lease", errorOf(ParseLease([]byte(`{}`))), invalidResponse, "warrant is missing"},
		{"heartbeat", errorOf(ParseHeartbeat([]byte(`{}`))), invalidHeartbeat, "deck is missing or not a name"},
		{"notice", errorOf(ParseHeartbeat([]byte(`{"deck":"m","watch":1,"logSeq":1,"recallS":1e10}`))), invalidHeartbeat,
			"recallS is not a duration"},
	} {
		if want := test.prefix + ": " + test.detail; test.err == nil || test.err.Error() != want {
			t.Errorf("%s: error %v, want %q", test.name, test.err, want)
		}
		var field *FieldError
		if !errors.As(test.err, &field) || field.Field == "" || field.Reason == "" {
			t.Errorf("%s: error %v names no field", test.name, test.err)
		}
		if errors.Is(test.err, ErrInvalidHeartbeat) != (test.prefix == invalidHeartbeat) || errors.Is(test.err, ErrInvalidResponse) != (test.prefix == invalidResponse) {
			t.Errorf("%s: error %v wraps the wrong sentinel", test.name, test.err)
		}
	}
}

func errorOf[T any](_ T, err error) error { return err }
