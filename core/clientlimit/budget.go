package clientlimit

import (
	"time"

	"oleandervalve"
)

// RequestID identifies a request in flight.
type RequestID uint64

// share is what a request holds of a budget.
type share struct {
	held oleandervalve.Bytes
	// declared is the size that the client has announced; 0 if it has not.
	declared oleandervalve.Bytes
	// complete means that all of the request has been received.
	complete bool
	progress Progress
}

// weight is the size by which requests that make progress are compared.
func (s *share) weight() oleandervalve.Bytes { return max(s.held, s.declared) }

// Budget is the memory that the requests in flight of a process share.
type Budget struct {
	limit, used oleandervalve.Bytes
	shares      map[RequestID]*share
}

// NewBudget returns a budget of the given size.
func NewBudget(limit oleandervalve.Bytes) *Budget {
	return &Budget{limit: limit, shares: map[RequestID]*share{}}
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() oleandervalve.Bytes { return b.used }

// Declare sets the size that the client of a request has announced.
func (b *Budget) Declare(id RequestID, size oleandervalve.Bytes, now time.Time) {
	b.share(id, now).declared = size
}

func (b *Budget) share(id RequestID, now time.Time) *share {
	s := b.shares[id]
	if s == nil {
		s = &share{progress: NewProgress(now)}
		b.shares[id] = s
	}
	return s
}

// Reserve reserves bytes for a request before they are read. If the budget is exhausted it takes
// the shares of other requests and returns these, which have to be given up. It reports false,
// and reserves nothing, if the request itself has to be given up.
func (b *Budget) Reserve(id RequestID, n oleandervalve.Bytes, now time.Time) (victims []RequestID, ok bool) {
	s := b.share(id, now)
	for b.used+n > b.limit {
		v, found := b.victim(id, n, now)
		if !found {
			return victims, false
		}
		victims = append(victims, v)
		b.End(v)
	}
	s.progress.Reading(now)
	s.held += n
	b.used += n
	return victims, true
}

// victim returns the request that has to release its share for n more bytes of another one:
// the largest one without progress, otherwise the largest one. It reports false if that is
// the request itself, so that new large requests are refused before older ones of their size.
func (b *Budget) victim(id RequestID, n oleandervalve.Bytes, now time.Time) (RequestID, bool) {
	own := b.shares[id]
	var largest, stalled RequestID
	var largestWeight, stalledHeld oleandervalve.Bytes
	for v, s := range b.shares {
		if v == id || s.complete || !s.progress.reading || s.held == 0 {
			continue
		}
		if s.progress.Stalled(now) && s.held > stalledHeld {
			stalled, stalledHeld = v, s.held
		}
		if s.weight() > largestWeight {
			largest, largestWeight = v, s.weight()
		}
	}
	if stalledHeld > 0 {
		return stalled, true
	}
	return largest, largestWeight > max(own.held+n, own.declared)
}

// Release returns a part of the share of a request.
func (b *Budget) Release(id RequestID, n oleandervalve.Bytes) {
	if s := b.shares[id]; s != nil {
		n = min(n, s.held)
		s.held -= n
		b.used -= n
	}
}

// Received records that a read has returned bytes of a request. The next one begins with Reserve.
func (b *Budget) Received(id RequestID, n oleandervalve.Bytes, now time.Time) {
	if s := b.shares[id]; s != nil {
		s.progress.Received(n, now)
	}
}

// Complete records that all of a request has been received. It keeps its share until its end,
// and isn't given up any more, because it may have taken effect.
func (b *Budget) Complete(id RequestID) {
	if s := b.shares[id]; s != nil {
		s.complete = true
	}
}

// End releases the share of a request.
func (b *Budget) End(id RequestID) {
	if s := b.shares[id]; s != nil {
		b.used -= s.held
		delete(b.shares, id)
	}
}
