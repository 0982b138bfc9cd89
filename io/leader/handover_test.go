package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against a weak entry that goes on leading a large fleet, for which its
// share of a processor is too small, and against leadership that moves between
// entries of about the same strength or to one that can't reach the table.
func TestLeadershipMovesToAMuchStrongerEntry(t *testing.T) {
	for _, c := range []struct {
		name     string
		own      float64
		share    float64
		tableAge time.Duration
		led      time.Duration
		keep     bool
		moves    bool
	}{
		{"strong entry", 0.11, 0.8, time.Second, time.Second, false, true},
		{"like entry", 0.5, 0.8, time.Second, time.Second, false, false},
		{"weaker entry", 0.8, 0.11, time.Second, time.Second, false, false},
		{"strong entry without the table", 0.11, 0.8, 5 * time.Second, time.Second, false, false},
		{"leadership has just begun", 0.11, 0.8, time.Second, 100 * time.Millisecond, false, false},
		{"the strong entry did not take over before", 0.11, 0.8, time.Second, time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := options(newTable())
			o.CPUShare, o.Keep = c.own, c.keep
			now := o.Clock.Now()
			l := &Leader{options: o, takenAt: now.Add(-c.led), followers: map[oleandervalve.EntryID]*follower{
				"e-2": {id: "e-2", share: c.share, tableAge: c.tableAge, heardAt: now},
			}}
			is.Equal(l.stronger(now) != nil, c.moves)
		})
	}
}
