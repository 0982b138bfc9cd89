package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

// Guards against a leader that starts a task elsewhere while an incarnation of its lost executor that
// nobody has met may run it, because the leader before it had no answer to the start either.
func TestUnconfirmedRunIsNotGivenUpWithinTheLongestLease(t *testing.T) {
	const (
		maxLease = 10 * time.Second
		// requested is the longest time that a lease lasts after the last proof if it was requested.
		requested = ProofLifetime*102/100 + takeoverMargin
	)
	for _, tt := range []struct {
		name      string
		maxLease  time.Duration
		confirmed bool
		// stays is how long the agent and the leader go on after the start.
		stays time.Duration
		// leaders is the number of leaders that are lost.
		leaders  int
		min, max time.Duration
	}{
		{"not confirmed", maxLease, false, 0, 0, maxLease, 15 * time.Second},
		{"not confirmed for long", maxLease, false, 5 * time.Second, 0, maxLease, 15 * time.Second},
		{"not confirmed, leader lost", maxLease, false, 0, 1, maxLease, 15 * time.Second},
		{"not confirmed for long, leader lost", maxLease, false, 5 * time.Second, 1, maxLease, 15 * time.Second},
		{"not confirmed, two leaders lost", maxLease, false, time.Second, 2, maxLease, 15 * time.Second},
		{"confirmed", maxLease, true, 0, 0, ProofLifetime, requested + time.Second},
		{"confirmed, leader lost", maxLease, true, RenewInterval + tickInterval, 1, ProofLifetime, requested + time.Second},
		{"confirmed, two leaders lost", maxLease, true, RenewInterval + tickInterval, 2, ProofLifetime, requested + time.Second},
		{"short leases", 6 * time.Second, false, 0, 1, 6 * time.Second, 11 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTerms(t)
			s.maxLease = tt.maxLease
			s.next()
			s.connect("lost")
			s.submit()
			s.advance(3 * tickInterval)
			is.Equal(s.assignedTo(), oleandervalve.AgentID("lost"))
			var started []dispatch.StartedRun
			if tt.confirmed {
				started = []dispatch.StartedRun{{Task: oleandervalve.TaskName{Job: "a"}, Run: 1}}
			}
			s.ping(started...)
			if tt.stays > 0 {
				s.advance(tt.stays)
				s.ping()
			}
			s.disconnect("lost")
			lostAt := s.clock.Now()
			for range tt.leaders {
				s.next()
				s.connect("other")
				s.advance(2 * tickInterval)
			}
			if tt.leaders == 0 {
				s.connect("other")
			}
			for s.assignedTo() != "other" && s.clock.Since(lostAt) < 5*ProofLifetime {
				s.advance(tickInterval)
			}
			got := s.clock.Since(lostAt)
			t.Logf("starts elsewhere after %s", got)
			is.True(got >= tt.min)
			is.True(got <= tt.max)
		})
	}
}
