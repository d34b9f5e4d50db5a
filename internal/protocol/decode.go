package protocol

import (
	"bytes"
	"encoding/json"

	fast "github.com/segmentio/encoding/json"
)

// maxNestingDepth is the nesting depth that encoding/json accepts.
const maxNestingDepth = 10000

// Decode unmarshals JSON on the hot paths: heartbeats, responses of the state service, stored
// records. It accepts and rejects the same input as encoding/json (checked by FuzzDecode) in a
// third of the time. The library recurses into nested values without a depth limit, so input
// that may be nested too deeply goes to encoding/json, which rejects it.
func Decode(body []byte, v any) error {
	if bytes.Count(body, []byte{'['})+bytes.Count(body, []byte{'{'}) > maxNestingDepth {
		return json.Unmarshal(body, v)
	}
	return fast.Unmarshal(body, v)
}
