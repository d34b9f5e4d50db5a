// Package golden compares the encoding of stored and sent values with golden files: bytes that
// an earlier version wrote. Tests of the packages that define such values use it. Without it, a
// renamed, reordered or retyped field would fail only when controllers of different versions
// exchange data. The package is for tests only.
package golden

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"brasskeel/internal/protocol"
)

// Case is a golden file in testdata and a pointer to the value that it encodes.
type Case struct {
	File  string
	Value any
}

// Check fails the test unless every value encodes to exactly the bytes of its file, and the file
// decodes to the value.
func Check(t *testing.T, cases []Case) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.File, func(t *testing.T) {
			want := readFile(t, c.File)
			encoded, err := json.Marshal(c.Value)
			if err != nil {
				t.Fatal(err)
			}
			if string(encoded) != string(want) {
				t.Errorf("json.Marshal: got\n%s\nwant\n%s", encoded, want)
			}
			checkDecode(t, want, c.Value)
		})
	}
}

// CheckDecode fails the test unless every file decodes to its value. It is for encodings that
// earlier versions wrote and this one only reads.
func CheckDecode(t *testing.T, cases []Case) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.File, func(t *testing.T) { checkDecode(t, readFile(t, c.File), c.Value) })
	}
}

func readFile(t *testing.T, file string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// checkDecode checks both decoders that the program uses.
func checkDecode(t *testing.T, raw []byte, want any) {
	t.Helper()
	for name, decode := range map[string]func([]byte, any) error{"protocol.Decode": protocol.Decode, "json.Unmarshal": json.Unmarshal} {
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := decode(raw, got); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got\n%+v\nwant\n%+v", name, got, want)
		}
	}
}
