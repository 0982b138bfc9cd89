package leader

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// slowScanTable is a table whose scans take a time on a fake clock.
type slowScanTable struct {
	*fakeTable
	clock *clockwork.FakeClock
	takes time.Duration
}

func (t *slowScanTable) Scan(ctx context.Context, prefix, after oleandervalve.Key, limit int) (oleandervalve.Page, error) {
	t.clock.Advance(t.takes)
	return t.fakeTable.Scan(ctx, prefix, after, limit)
}

// Guards against tasks of a lost machine that wait for longer because the leader was lost with it
// and the next one took long to load the jobs: no lease can be extended once the row is replaced.
func TestLoadingDoesNotProlongLeasesOfLostMachines(t *testing.T) {
	is := is.New(t)
	x := newFakeTable()
	first, _ := startLeader(t, x)
	a := joinAgent(t, serveAgents(t, first), 1)
	is.Equal(submit(first).Verdict, dispatch.Accepted)
	for {
		m, err := a.conn.Receive(context.Background())
		is.NoErr(err)
		if _, ok := m.(*peer.StartRun); ok {
			break
		}
	}
	rows, err := x.Get(context.Background(), Key)
	is.NoErr(err)
	clock := clockwork.NewFakeClock()
	o := testOptions(x)
	o.Table, o.Clock = &slowScanTable{x, clock, 1500 * time.Millisecond}, clock
	next, err := Acquire(context.Background(), o, rows[0], Row{Entry: "e-2", Process: "p"})
	is.NoErr(err)
	replacedAt := clock.Now()
	is.NoErr(next.load(context.Background()))
	is.True(clock.Since(replacedAt) >= 3*time.Second)
	lost := func() int {
		count := 0
		next.dispatcher.Tick(clock.Now())
		for _, x := range next.dispatcher.TakeActions() {
			if e, ok := x.(dispatch.LogEvent); ok && e.Event == "executorLost" {
				count++
			}
		}
		return count
	}
	const takeover = ProofLifetime*102/100 + takeoverMargin
	clock.Advance(takeover - clock.Since(replacedAt))
	is.Equal(lost(), 0) // a lease may last until now
	clock.Advance(time.Millisecond)
	is.Equal(lost(), 1)
}
