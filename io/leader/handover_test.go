package leader

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against a weak entry that keeps leading a large fleet although its
// processor share is too small for that, and against handovers between entries with
// similar shares or to an entry that can't reach the table.
func TestHandoverToMuchStrongerEntry(t *testing.T) {
	for _, c := range []struct {
		name             string
		ownShare         float64
		share            float64
		tableAge         time.Duration
		termAge          time.Duration
		handoverDisabled bool
		wantHandover     bool
	}{
		{"much stronger entry", 0.11, 0.8, time.Second, time.Second, false, true},
		{"slightly stronger entry", 0.5, 0.8, time.Second, time.Second, false, false},
		{"weaker entry", 0.8, 0.11, time.Second, time.Second, false, false},
		{"much stronger entry that can't reach the table", 0.11, 0.8, 5 * time.Second, time.Second, false, false},
		{"term has just begun", 0.11, 0.8, time.Second, 100 * time.Millisecond, false, false},
		{"handover is disabled", 0.11, 0.8, time.Second, time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := testOptions(newFakeTable())
			o.CPUShare, o.DisableHandover = c.ownShare, c.handoverDisabled
			now := o.Clock.Now()
			l := &Leader{options: o, termStartedAt: oleandervalve.Instant{Time: now.Add(-c.termAge)}, followers: map[oleandervalve.EntryID]*follower{
				"e-2": {id: "e-2", cpuShare: c.share, tableAge: c.tableAge, heartbeatAt: now},
			}}
			is.Equal(l.handoverTarget(oleandervalve.Instant{Time: now}) != nil, c.wantHandover)
		})
	}
}

// Guards against a process that crashes because its planned stop begins between the takeover and
// the start of the term.
func TestReleaseBeforeTermBegins(t *testing.T) {
	is := is.New(t)
	x := newFakeTable()
	l, err := Acquire(context.Background(), testOptions(x), oleandervalve.Row{Key: Key}, Row{Entry: "e-1", Process: "p"})
	is.NoErr(err)
	released := make(chan struct{})
	go func() { defer close(released); l.Release(context.Background()) }()
	time.Sleep(20 * time.Millisecond)
	is.NoErr(l.Run(context.Background()))
	<-released
	row, err := DecodeRow(x.rows[Key])
	is.NoErr(err)
	is.True(row.Released)
}
