package batching

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var limits = Limits{MinTimeout: 150 * time.Millisecond, MaxTimeout: 2 * time.Second, MaxBytes: 500_000}

// commit returns the duration of a commit with values of the given size, which are a third
// larger on the link.
func commit(bytes int, rate float64, latency time.Duration) time.Duration {
	return latency + time.Duration(float64(bytes)*4/3/rate*float64(time.Second))
}

// Guards against commits that have no answer in time because they can't have been sent by then,
// against renewals of leadership that wait for a large commit, and against small commits where
// large ones are sent at once.
func TestCommitsFollowLink(t *testing.T) {
	for _, tc := range []struct {
		name     string
		rate     float64
		latency  time.Duration
		minBytes int
	}{
		{"2 Mbit/s", 250e3, 4 * time.Millisecond, 60_000},
		{"2 Mbit/s, half of it for other messages", 125e3, 4 * time.Millisecond, 30_000},
		{"20 Mbit/s", 2.5e6, 4 * time.Millisecond, 500_000},
		{"200 Mbit/s", 25e6, 4 * time.Millisecond, 500_000},
		{"20 Mbit/s, busy table", 2.5e6, 100 * time.Millisecond, 500_000},
		{"2 Mbit/s, busy table", 250e3, 100 * time.Millisecond, 60_000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p := New(limits)
			longest := time.Duration(0)
			for n := range 40 {
				bytes := p.MaxBytes()
				if n%4 < 2 {
					bytes = 2000
				}
				took := commit(bytes, tc.rate, tc.latency)
				is.True(took < p.Timeout(bytes))
				longest = max(longest, took)
				p.Answered(bytes, took)
			}
			t.Logf("%d bytes, longest commit %v", p.MaxBytes(), longest)
			is.True(longest < time.Second) // the leader's row may be unchanged for 1.7 s
			is.True(p.MaxBytes() >= tc.minBytes)
		})
	}
}

// Guards against commits without an answer that are repeated for ever, as the link carries less
// than it did.
func TestCommitsShrinkOnceLinkIsThinner(t *testing.T) {
	is := is.New(t)
	p := New(limits)
	for range 10 {
		bytes := p.MaxBytes()
		p.Answered(bytes, commit(bytes, 25e6, 4*time.Millisecond))
	}
	is.Equal(p.MaxBytes(), limits.MaxBytes)
	for range 10 {
		p.Unanswered(p.MaxBytes())
	}
	bytes := p.MaxBytes()
	is.True(commit(bytes, 250e3, 4*time.Millisecond) < p.Timeout(bytes))
}

// Guards against a table that is slow for commits of any size, with which almost nothing is
// committed at a time.
func TestCommitsStayLargeWithSlowTable(t *testing.T) {
	is := is.New(t)
	p := New(limits)
	for range 40 {
		bytes := p.MaxBytes()
		p.Answered(bytes, commit(bytes, 25e6, 800*time.Millisecond))
	}
	is.True(p.MaxBytes() >= 30_000)
	for range 10 {
		p.Answered(2000, 800*time.Millisecond)
	}
	for range 10 {
		bytes := p.MaxBytes()
		p.Answered(bytes, commit(bytes, 25e6, 800*time.Millisecond))
	}
	is.Equal(p.MaxBytes(), limits.MaxBytes)
}

// Guards against a lost answer to a small commit that is noticed late.
func TestSmallCommitsHaveShortTimeouts(t *testing.T) {
	is := is.New(t)
	p := New(limits)
	is.True(p.Timeout(2000) <= 200*time.Millisecond)
	for range 20 {
		bytes := p.MaxBytes()
		p.Answered(bytes, commit(bytes, 25e6, 4*time.Millisecond))
		p.Answered(2000, commit(2000, 25e6, 4*time.Millisecond))
	}
	is.True(p.Timeout(2000) <= 200*time.Millisecond)
	is.Equal(p.Timeout(100_000_000), limits.MaxTimeout)
}
