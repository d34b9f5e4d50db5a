package simulator

import (
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"hash"
	"os"
	"sync"
	"testing"
)

var digestFile = flag.String("digest", "", "file to which a digest of each scenario and chaos run is appended")

var digestLock sync.Mutex

// newDigest returns the hash for Options.Digest, or nil unless -digest names a file. At the end of
// the test its sum is appended to that file.
func newDigest(t *testing.T) hash.Hash {
	if *digestFile == "" {
		return nil
	}
	sum := sha256.New()
	t.Cleanup(func() {
		digestLock.Lock()
		defer digestLock.Unlock()
		f, err := os.OpenFile(*digestFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			t.Fatal(err)
		}
		_, err = fmt.Fprintf(f, "%s %x\n", t.Name(), sum.Sum(nil))
		if err := errors.Join(err, f.Close()); err != nil {
			t.Fatal(err)
		}
	})
	return sum
}
