package protocol

import (
	"bytes"
	"encoding/json"

	fast "github.com/segmentio/encoding/json"
)

// maxNestingDepth is how deeply encoding/json takes values to be nested.
const maxNestingDepth = 10000

// Decode reads what comes often: reports, answers of the state service, records. It takes
// and refuses what encoding/json does (FuzzDecode), in a third of the time. The library
// follows nested values with its stack, however deep, so what might be nested too
// deeply goes to encoding/json, which refuses it.
func Decode(body []byte, v any) error {
	if bytes.Count(body, []byte{'['})+bytes.Count(body, []byte{'{'}) > maxNestingDepth {
		return json.Unmarshal(body, v)
	}
	return fast.Unmarshal(body, v)
}
