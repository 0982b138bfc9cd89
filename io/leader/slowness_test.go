package leader

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
)

// slowTable is a table whose commits take a time on a fake clock.
type slowTable struct {
	*fakeTable
	clock *clockwork.FakeClock
	takes time.Duration
}

func (t *slowTable) Commit(ctx context.Context, x oleandervalve.Transaction) (oleandervalve.Committed, error) {
	t.clock.Advance(t.takes)
	return t.fakeTable.Commit(ctx, x)
}

// Guards against a leader whose commits, passes or lock delay all starts without a trace, and
// against a log that usual ones fill.
func TestSlownessIsLogged(t *testing.T) {
	for _, tt := range []struct {
		name  string
		takes time.Duration
		want  int
	}{{"usual", 250 * time.Millisecond, 0}, {"slow", 350 * time.Millisecond, 1}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			x := &slowTable{fakeTable: newFakeTable(), clock: clock}
			var out bytes.Buffer
			o := testOptions(x.fakeTable)
			o.Table, o.Clock = x, clock
			o.Log.Logger.SetOutput(&out)
			l, err := Acquire(context.Background(), o, oleandervalve.Row{Key: Key}, Row{Entry: "e-1", Process: "p"})
			is.NoErr(err)
			is.NoErr(l.load(context.Background()))
			lines := func(text string) int {
				count := 0
				for _, s := range strings.Split(out.String(), "\n") {
					if strings.Contains(s, text) && strings.Contains(s, "term=1") {
						count++
					}
				}
				return count
			}
			x.takes = tt.takes
			for range 2 {
				is.NoErr(l.commit(context.Background(), &dispatch.Batch{}))
			}
			is.Equal(lines("commit is slow"), tt.want)
			l.withDispatcher(func(*dispatch.Dispatcher, time.Time) { clock.Advance(tt.takes) })
			is.Equal(lines("lock of the leader is slow"), tt.want)
			began := clock.Now()
			clock.Advance(tt.takes)
			l.slowness.passEnded("schedule", began)
			is.Equal(lines("pass of the dispatcher is slow"), tt.want)
		})
	}
}
