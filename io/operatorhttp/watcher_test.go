package operatorhttp

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against an entry that was suspended or cut off and reports an old configuration as the present one.
func TestAgeOfReplicaCountsOutagesAndSuspensions(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table := newMemTable(clock)
	w := NewWatcher(table, clock, discardLogger())
	var uptime time.Duration
	w.ages = oleandervalve.NewLeaseClock(clock, func() time.Duration { return uptime })
	is.NoErr(w.Poll(context.Background()))
	is.Equal(w.Age(), time.Duration(0))
	uptime += 15 * time.Minute
	is.Equal(w.Age(), 15*time.Minute)
	table.fault = func(string) string { return "down" }
	is.True(w.Poll(context.Background()) != nil)
	is.Equal(w.Age(), 15*time.Minute)
	table.fault = func(string) string { return "" }
	is.NoErr(w.Poll(context.Background()))
	is.Equal(w.Age(), time.Duration(0))
}
