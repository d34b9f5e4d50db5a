package coordination

import (
	"testing"
	"time"
)

// A release is revoked only if it is revocable, its machine isn't draining, and the cloud can't have
// carried it out: its call was refused or not sent yet.
func TestReleaseRevokedOnlyIfNotCarriedOut(t *testing.T) {
	now := time.Date(2026, 9, 21, 12, 0, 0, 0, time.UTC)
	sent := func(c *lifecycle) { c.releaseCallSent(now) }
	answered := func(refused bool) func(*lifecycle) {
		return func(c *lifecycle) { c.releaseCallSent(now); c.releaseCallEnded(refused) }
	}
	for _, test := range []struct {
		name      string
		revocable bool
		change    func(*lifecycle)
		revoked   bool
	}{
		{"not sent yet", true, func(*lifecycle) {}, true},
		{"requested for another reason than unresponsiveness", false, func(*lifecycle) {}, false},
		{"in flight", true, sent, false},
		{"refused", true, answered(true), true},
		{"without a clear outcome", true, answered(false), false},
		{"without a clear outcome, refused when retried", true, func(c *lifecycle) { answered(false)(c); answered(true)(c) }, false},
		{"of a draining machine", true, func(c *lifecycle) { c.draining = true }, false},
	} {
		var c lifecycle
		if !c.inService() || !c.beginRelease(test.revocable) || c.inService() {
			t.Fatalf("%s: release not begun, or machine still in service: %+v", test.name, c)
		}
		if c.beginRelease(true) {
			t.Errorf("%s: release begun a second time", test.name)
		}
		test.change(&c)
		if got := c.revoke(); got != test.revoked || c.releasing() == test.revoked {
			t.Errorf("%s: revoked: %t, want %t; state %+v", test.name, got, test.revoked, c)
		}
	}
}
