package records

import (
	"encoding/json"
	"time"
)

// Encode makes the value of a record.
func Encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil { // records hold only strings and finite numbers
		panic(err)
	}
	return raw
}

// UnixMillis is a wall-clock instant as records keep it.
func UnixMillis(t time.Time) int64 { return t.UnixMilli() }
