// Package golden compares values that are stored or sent with bytes that an earlier version
// wrote. Tests of the packages that define such values use it: a field that is renamed,
// reordered or given another type would otherwise be noticed only by a controller of another
// version. It is never part of the program.
package golden

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"brasskeel/internal/protocol"
)

// Case is one form of a stored or sent value: the file in testdata that holds its bytes, and
// a pointer to the same value.
type Case struct {
	File  string
	Value any
}

// Check fails the test unless the file holds what the value encodes to, byte for byte, and
// decodes to the value.
func Check(t *testing.T, forms []Case) {
	t.Helper()
	for _, f := range forms {
		t.Run(f.File, func(t *testing.T) {
			want := readFile(t, f.File)
			encoded, err := json.Marshal(f.Value)
			if err != nil {
				t.Fatal(err)
			}
			if string(encoded) != string(want) {
				t.Errorf("encodes to\n%s\nwant\n%s", encoded, want)
			}
			checkDecode(t, want, f.Value)
		})
	}
}

// CheckDecode fails the test unless the file decodes to the value. It is for forms that are
// read and no longer written.
func CheckDecode(t *testing.T, forms []Case) {
	t.Helper()
	for _, f := range forms {
		t.Run(f.File, func(t *testing.T) { checkDecode(t, readFile(t, f.File), f.Value) })
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

// checkDecode checks both libraries that the program reads with.
func checkDecode(t *testing.T, raw []byte, want any) {
	t.Helper()
	for name, decode := range map[string]func([]byte, any) error{"protocol.Decode": protocol.Decode, "json.Unmarshal": json.Unmarshal} {
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := decode(raw, got); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s reads\n%+v\nwant\n%+v", name, got, want)
		}
	}
}
