package startorder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against orders that are sent although they may be obsolete, and against orders that are
// given back while they are only to wait.
func TestDecide(t *testing.T) {
	now := oleandervalve.Instant{Time: time.Unix(1000, 0), Uptime: time.Hour}
	limits := Limits{MaxProofAge: 2 * time.Second, DrainGrace: time.Second}
	for _, tt := range []struct {
		name    string
		change  func(*Circumstances)
		verdict Verdict
		reason  oleandervalve.StartRefusal
	}{
		{"nothing has changed", func(*Circumstances) {}, Send, ""},
		{"proof just young enough", func(c *Circumstances) { c.ProofAt = now.Add(time.Nanosecond - limits.MaxProofAge) }, Send, ""},
		{"proof too old", func(c *Circumstances) { c.ProofAt = now.Add(-limits.MaxProofAge) }, AwaitProof, ""},
		{"suspended since the proof", func(c *Circumstances) { c.ProofAt.Uptime -= 5 * time.Second }, AwaitProof, ""},
		{"no proof", func(c *Circumstances) { c.ProofAt = oleandervalve.Instant{} }, AwaitProof, ""},
		{"leases of an earlier incarnation", func(c *Circumstances) { c.ReadyAt = now.Time.Add(1) }, AwaitLease, ""},
		{"leases of an earlier incarnation, stopped", func(c *Circumstances) { c.ReadyAt, c.Stopped = now.Time.Add(1), true }, Abandon, oleandervalve.RefusedOld},
		{"proof from before they have ended", func(c *Circumstances) { c.ReadyAt = c.ProofAt.Time.Add(1) }, AwaitProof, ""},
		{"proof from after they have ended", func(c *Circumstances) { c.ReadyAt = c.ProofAt.Time }, Send, ""},
		{"leader asked before the order", func(c *Circumstances) {
			c.ContactSince, c.LeaderAsked, c.ExecutorAsked = now.Time, now.Time.Add(-1), now.Time
		}, AwaitContact, ""},
		{"executor asked before the order", func(c *Circumstances) {
			c.ContactSince, c.LeaderAsked, c.ExecutorAsked = now.Time, now.Time, now.Time.Add(-1)
		}, AwaitContact, ""},
		{"both asked since the order", func(c *Circumstances) {
			c.ContactSince, c.LeaderAsked, c.ExecutorAsked = now.Time, now.Time, now.Time
		}, Send, ""},
		{"poll has failed", func(c *Circumstances) { c.Unconfirmed = true }, AwaitExecutor, ""},
		{"poll has failed, stopped", func(c *Circumstances) { c.Unconfirmed, c.Stopped = true, true }, Abandon, oleandervalve.RefusedOld},
		{"stopped", func(c *Circumstances) { c.Stopped = true }, Abandon, oleandervalve.RefusedOld},
		{"stopped, no proof", func(c *Circumstances) { c.Stopped, c.ProofAt = true, oleandervalve.Instant{} }, Abandon, oleandervalve.RefusedOld},
		{"executor has ended", func(c *Circumstances) { c.Ended = true }, Abandon, oleandervalve.RefusedOld},
		{"drains since now", func(c *Circumstances) { c.DrainingSince = now.Time }, Send, ""},
		{"drains", func(c *Circumstances) { c.DrainingSince = now.Time.Add(-limits.DrainGrace - 1) }, Abandon, oleandervalve.RefusedDraining},
		{"doesn't fit", func(c *Circumstances) { c.Reserved.CPU = c.Capacity.CPU + 1 }, Abandon, oleandervalve.RefusedRoom},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := Circumstances{
				Reserved: oleandervalve.Resources{CPU: 1000, Memory: 1 << 30}, Capacity: oleandervalve.Resources{CPU: 4000, Memory: 4 << 30},
				ProofAt: now.Add(-time.Second),
			}
			tt.change(&c)
			verdict, reason := Decide(now, limits, c)
			is.Equal(verdict, tt.verdict)
			is.Equal(reason, tt.reason)
		})
	}
}
