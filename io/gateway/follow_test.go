package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/io/leader"
)

// unavailableTable is a table that refuses every call.
type unavailableTable struct{ Table }

func (unavailableTable) Commit(context.Context, oleandervalve.Transaction) (oleandervalve.Committed, error) {
	return oleandervalve.Committed{}, &oleandervalve.UnavailableError{Service: "table"}
}

// Guards against an entry that deposes a healthy leader because it was once asked to take
// over: after it had led on that request and lost leadership, it took it back from its
// successor as soon as it read the leader's row.
func TestTakeoverRequestIsFulfilledOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Options{Clock: clock, Log: logrus.NewEntry(log), Scope: tally.NoopScope, Table: unavailableTable{}})
	is.True(!g.isTakeoverRequested(clock.Now()))
	g.requestTakeover()
	is.True(g.isTakeoverRequested(clock.Now()))
	g.lead(context.Background(), oleandervalve.Row{Key: leader.Key})
	is.True(!g.isTakeoverRequested(clock.Now())) // even though the attempt has failed

	g.requestTakeover()
	clock.Advance(successorTimeout)
	is.True(!g.isTakeoverRequested(clock.Now())) // another entry has been asked since
}

// Guards against a leader without which callers wait for longer than needed, and against
// the replacement of one that renews its row, but slowly.
func TestStaleRowOfLeader(t *testing.T) {
	now := time.UnixMilli(100_000)
	for _, c := range []struct {
		name     string
		row      leader.Row
		now      time.Time
		readTook time.Duration
		stale    bool
	}{
		{"just renewed", leader.Row{RenewedAt: now.Add(-100 * time.Millisecond)}, now, 10 * time.Millisecond, false},
		{"next renewal is late", leader.Row{RenewedAt: now.Add(-leaderLease + time.Millisecond)}, now, 0, false},
		{"not renewed", leader.Row{RenewedAt: now.Add(-leaderLease)}, now, 0, true},
		{"not renewed, fast table", leader.Row{RenewedAt: now.Add(-leaderLease - 20*time.Millisecond)}, now, 5 * time.Millisecond, true},
		{"table is slow", leader.Row{RenewedAt: now.Add(-leaderLease - 500*time.Millisecond)}, now, 300 * time.Millisecond, false},
		{"written by an earlier release", leader.Row{}, now, 0, false},
		{"table without a clock", leader.Row{RenewedAt: now.Add(-time.Minute)}, time.Time{}, 0, false},
		{"renewed after the read", leader.Row{RenewedAt: now.Add(time.Second)}, now, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(isStale(c.row.Age(c.now), c.readTook), c.stale)
		})
	}
}

// Guards against a failed read that counts as an absent row, upon which the entry would try
// to take over.
func TestFailedReadOfLeaderRow(t *testing.T) {
	is := is.New(t)
	g := New(Options{Clock: clockwork.NewFakeClock(), Scope: tally.NoopScope, Table: unreadableTable{}})
	_, _, err := g.readLeaderRow(context.Background())
	var unavailable *oleandervalve.UnavailableError
	is.True(errors.As(err, &unavailable))
}

// unreadableTable is a table that can't be read.
type unreadableTable struct{ Table }

func (unreadableTable) Scan(context.Context, oleandervalve.Key, oleandervalve.Key, int) (oleandervalve.Page, error) {
	return oleandervalve.Page{}, &oleandervalve.UnavailableError{Service: "table"}
}
