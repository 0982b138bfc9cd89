package leader

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

// Guards against a next leader that counts the shorter lease for a long-running start that the previous one has
// ordered, because loading the jobs took a while.
func TestLongRunningStartOfThePreviousLeaderIsKeptLonger(t *testing.T) {
	is := is.New(t)
	s := newTerms(t)
	s.maxLease = 10 * time.Second
	s.next()
	s.connect("lost")
	s.submit()
	s.advance(3 * tickInterval)
	is.Equal(s.assignedTo(), oleandervalve.AgentID("lost"))
	s.leader.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.LeaseGranted(now, "lost") })
	s.disconnect("lost")
	lostAt := s.clock.Now()
	options := testOptions(s.table)
	options.Clock, options.MaxLease, options.CancelDelay = s.clock, s.maxLease, 3*time.Second
	row := s.table.rows[Key]
	row.Key = Key
	l, err := Acquire(context.Background(), options, row, Row{Entry: "e-1", Process: "p"})
	is.NoErr(err)
	s.clock.Advance(50 * time.Millisecond)
	is.NoErr(l.load(context.Background()))
	s.leader = l
	s.connect("other")
	for s.assignedTo() != "other" && s.clock.Since(lostAt) < 5*ProofLifetime {
		s.advance(tickInterval)
	}
	got := s.clock.Since(lostAt)
	t.Logf("starts elsewhere after %s", got)
	is.True(got >= s.maxLease)
}
