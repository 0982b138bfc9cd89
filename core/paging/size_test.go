package paging

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// scan reads rows whose transfer takes perRow each, behind a table that takes latency for an
// answer. It returns the time taken and the numbers of reads and of failed ones in a row.
func scan(rows int, perRow, latency time.Duration) (took time.Duration, reads, failures int) {
	const timeout = 2 * time.Second
	s := New(Limits{MaxRows: 500, Timeout: timeout})
	inARow := 0
	for rows > 0 {
		n := min(rows, s.Rows())
		d := latency + time.Duration(n)*perRow
		if d > timeout {
			took += timeout
			s.Failed()
			inARow++
			failures = max(failures, inARow)
			continue
		}
		inARow = 0
		took += d
		s.Read(d)
		rows -= n
		reads++
	}
	return took, reads, failures
}

// Guards against reads that fail each time because a page takes longer than their timeout, and
// against many small pages where a full one is transferred at once.
func TestPagesFollowTimeOfReads(t *testing.T) {
	const rows, fullPages = 2000, 4
	for _, tc := range []struct {
		name               string
		perRow, latency    time.Duration
		maxReads, maxFails int
	}{
		{"fast link", 20 * time.Microsecond, 4 * time.Millisecond, fullPages + 3, 0},
		{"slow table", 20 * time.Microsecond, 250 * time.Millisecond, fullPages + 3, 0},
		{"thin link", 20 * time.Millisecond, 4 * time.Millisecond, rows / 20, 0},
		{"large rows behind a thin link", 300 * time.Millisecond, 4 * time.Millisecond, rows, 2},
		{"one row at a time", 1500 * time.Millisecond, 4 * time.Millisecond, rows, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			took, reads, failures := scan(rows, tc.perRow, tc.latency)
			t.Logf("%v, %d reads, %d failures in a row", took, reads, failures)
			is.True(reads <= tc.maxReads)
			is.True(failures <= tc.maxFails)
			is.True(took <= 2*rows*tc.perRow+10*tc.latency)
		})
	}
}
