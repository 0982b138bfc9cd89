package leasebound

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against proofs of leadership that the age of the leader's row doesn't bound.
func TestProofCountsForAnIntervalAfterTheRow(t *testing.T) {
	const interval = 350 * time.Millisecond
	row := oleandervalve.Instant{Time: time.Unix(1000, 0), Uptime: time.Hour}
	suspended := row.Add(100 * time.Millisecond)
	suspended.Uptime += time.Second
	for _, tt := range []struct {
		name       string
		sent, want oleandervalve.Instant
	}{
		{"with the row", row, row},
		{"soon after", row.Add(interval), row.Add(interval)},
		{"late", row.Add(interval + 1), row.Add(interval)},
		{"after a suspension", suspended, row.Add(interval)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Proof(tt.sent, row, interval), tt.want)
		})
	}
}

// Guards against a row that counts as older than it is when its leader is replaced.
func TestRowAge(t *testing.T) {
	is := is.New(t)
	at := time.Unix(2000, 0)
	is.Equal(RowAge(at, at.Add(-time.Second)), time.Second)
	is.Equal(RowAge(at, at.Add(time.Second)), time.Duration(0))
	is.Equal(RowAge(time.Time{}, at), time.Duration(0))
	is.Equal(RowAge(at, time.Time{}), time.Duration(0))
}
