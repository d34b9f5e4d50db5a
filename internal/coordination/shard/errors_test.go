package shard

import (
	"encoding/json"
	"errors"
	"testing"

	"brasskeel/internal/records"
)

// Operators read these texts in logs and in the output of commands, so they must not change.
func TestRecordErrors(t *testing.T) {
	for _, test := range []struct{ key, value, want string }{
		{"s/x", `{}`, `unknown key "s/x"`},
		{records.KeyOwner(7), `{}`, `unreadable owner of shard 7: "{}"`},
		{records.KeyOwner(7), `{`, `unreadable owner of shard 7: "{"`},
		{records.KeyMember("n1"), `{"node":"n2","inc":1}`, `unreadable member "n1": "{\"node\":\"n2\",\"inc\":1}"`},
	} {
		err := NewTable().Put(test.key, json.RawMessage(test.value), 1)
		if err == nil || err.Error() != test.want {
			t.Errorf("%s: error %q, want %q", test.key, err, test.want)
		}
		var record *RecordError
		if !errors.As(err, &record) || record.Key != test.key {
			t.Errorf("%s: %T holds the record error %+v, want one with this key", test.key, err, record)
		}
	}
	if _, err := ParseMessage([]byte(`{"shards":"n1"}`)); !errors.Is(err, ErrEmptyMessage) || err.Error() != "shard message without instructions or observations" {
		t.Errorf("error %v for a message without content", err)
	}
}
