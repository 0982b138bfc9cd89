package clientlimit

import (
	"time"

	"oleandervalve"
)

const (
	// StallTime is the time without progress after which a request that is being received is
	// the first to be given up. Ordinary bodies of at most 5 KB take one round trip.
	StallTime = time.Second
	// progressBytes is the number of bytes that count as progress, so that a client that sends
	// single bytes has stalled too.
	progressBytes = 1 << 10
)

// Progress follows how a client sends a request. The time in which the process itself doesn't
// read is no lack of progress.
type Progress struct {
	// at is the time of the last progress, and received counts the bytes since then.
	at       time.Time
	received oleandervalve.Bytes
	// reading means that the process waits for bytes of the client, and pausedAt is when it did
	// so last.
	reading  bool
	pausedAt time.Time
}

// NewProgress returns the progress of a request that has begun.
func NewProgress(now time.Time) Progress { return Progress{at: now, pausedAt: now} }

// Reading records that the process waits for bytes of the client.
func (p *Progress) Reading(now time.Time) {
	if !p.reading {
		p.reading, p.at = true, p.at.Add(now.Sub(p.pausedAt))
	}
}

// Received records that a read has returned bytes.
func (p *Progress) Received(n oleandervalve.Bytes, now time.Time) {
	p.reading, p.pausedAt = false, now
	if p.received += n; p.received >= progressBytes {
		p.at, p.received = now, 0
	}
}

// Stalled reports whether the process has waited for progress for StallTime.
func (p *Progress) Stalled(now time.Time) bool {
	return p.reading && now.Sub(p.at) >= StallTime
}

// LongestStalled returns the index of the request that has made no progress for the longest time,
// or false if none has stalled.
func LongestStalled(list []Progress, now time.Time) (int, bool) {
	longest := -1
	for i, p := range list {
		if p.Stalled(now) && (longest < 0 || p.at.Before(list[longest].at)) {
			longest = i
		}
	}
	return longest, longest >= 0
}
