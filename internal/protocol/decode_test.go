package protocol

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// decodeTargets make empty values of the types that Decode is used with.
var decodeTargets = []func() any{
	func() any { return new(wireHeartbeat) },
	func() any { return new(wireKeyValue) },
	func() any { return new(wireEvents) },
}

// checkDecode decodes a body into each target with both decoders and compares the results.
func checkDecode(t *testing.T, body []byte) {
	for _, newTarget := range decodeTargets {
		want, got := newTarget(), newTarget()
		wantErr, gotErr := json.Unmarshal(body, want), Decode(append([]byte(nil), body...), got)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("%.200q into %T: encoding/json returned error %v, Decode %v", body, want, wantErr, gotErr)
		}
		if wantErr == nil && !reflect.DeepEqual(want, got) {
			t.Fatalf("%.200q: encoding/json decoded %+v, Decode %+v", body, want, got)
		}
	}
}

// FuzzDecode checks that Decode accepts the same input as encoding/json and yields the same
// values.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"deck":"a","watch":1,"logSeq":2,"oars":[{"oar":"x/1","launch":1,"bearing":"running","kept":true}]}`,
		`{"DECK":"a","watch":null,"helm":18446744073709551615}`, `{"helm":18446744073709551616}`,
		`{"recallS":1e3,"oars":null}`, `{"deck":"\ud800\u0041\n"}`, `{"a":[1,{"b":[]}],"deck":"x"} `,
		`{"helm":1.0}`, `{"helm":01}`, `{"helm":-1}`, `{"helm":"1"}`, `[]`, `null`, ``, ` `, `{`, `{"deck":"a","deck":"b"}`,
		"{\"deck\":\"\xff\"}", "{\"deck\":\"\x01\"}", `{"deck":"a"}x`, `{"deck":"a",}`, `{"oars":[{},]}`,
		`{"driftwood":1}`, `{"driftwood":tru}`, `{"recallS":1e999}`, `{"recallS":.5}`, `{"x":+1}`, `{"x":1.}`,
		`{"x":"\q"}`, `{"oarſ":[]}`, `{"path":"a","data":{"x":[1, 2]},"entry":3,"warrant":4}`, `{"path":"a","data":nul}`,
		`{"logbook":1,"news":[{"write":"k","data":{"a":1},"entry":2},{"remove":"k","entry":3}]}`, `{"news":[{"data":"\u00zz"}]}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(checkDecode)
}

// TestDecodeDeeplyNested compares the decoders on nesting around encoding/json's limit and far
// beyond it.
func TestDecodeDeeplyNested(t *testing.T) {
	for _, n := range []int{100, maxNestingDepth - 2, maxNestingDepth - 1, maxNestingDepth, maxNestingDepth + 1, 30000} {
		checkDecode(t, []byte(`{"x":`+strings.Repeat("[", n)+strings.Repeat("]", n)+`}`))
		checkDecode(t, []byte(strings.Repeat(`{"x":`, n)+"1"+strings.Repeat("}", n)))
	}
}

// TestHeartbeatAllocations bounds the allocations of parsing a heartbeat: a leader parses one
// per machine every few seconds, and the responses to its own calls to workers.
func TestHeartbeatAllocations(t *testing.T) {
	h := &Heartbeat{Machine: "vm-000123", Addr: "10.3.0.12:8080", Type: "small", Zone: "a", Incarnation: 1, Sequence: 123, FencingToken: 1 << 32}
	for i := range 12 {
		h.Tasks = append(h.Tasks, TaskStatus{Job: "run-000123", TaskIndex: i, Attempt: 1, State: Running})
	}
	body := EncodeHeartbeat(h)
	allocs := testing.AllocsPerRun(100, func() {
		if _, err := ParseHeartbeat(body); err != nil {
			t.Fatal(err)
		}
	})
	if limit := 34.0; allocs > limit {
		t.Errorf("parsing a heartbeat of 12 tasks takes %v allocations, want at most %v", allocs, limit)
	}
}
