package records

import (
	"encoding/json"
	"time"
)

// Encode returns the JSON value of a record.
func Encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil { // impossible: records hold only strings and finite numbers
		panic(err)
	}
	return raw
}

// UnixMillis converts a time to the Unix milliseconds that records hold.
func UnixMillis(t time.Time) int64 { return t.UnixMilli() }
