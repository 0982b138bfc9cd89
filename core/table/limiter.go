package table

import (
	"math"
	"time"
)

// Priority orders the uses of the table budget. A lower value has precedence.
type Priority int

const (
	// Finishing covers fencing, takeover and the end of tasks. These writes free
	// resources and are never delayed in favour of other uses.
	Finishing Priority = iota
	// Renewing covers the renewal of leases; without it, running tasks stop.
	Renewing
	// Configuring covers changes by operators, submissions and cancellations.
	Configuring
	// Starting covers starts of tasks, which add load and can wait.
	Starting
	priorityCount
)

// String returns the name of the priority.
func (p Priority) String() string {
	switch p {
	case Finishing:
		return "finishing"
	case Renewing:
		return "renewing"
	case Configuring:
		return "configuring"
	case Starting:
		return "starting"
	}
	return "invalid"
}

// Limits holds the permitted operations per second.
type Limits struct {
	Writes float64
	Reads  float64
}

// DefaultLimits is the part of the platform's table budget that all entries use
// together. The table service sustains several hundred writes and about two
// thousand reads per second in total for all of its clients.
var DefaultLimits = Limits{Writes: 300, Reads: 1500}

// Share returns the limits of one process if n processes share the budget
// equally.
func (l Limits) Share(n int) Limits {
	d := float64(max(1, n))
	return Limits{Writes: l.Writes / d, Reads: l.Reads / d}
}

// reservedShares is the share of a full bucket that each priority leaves to the
// higher ones. When the bucket runs low, starts are delayed first. A full burst
// of starts still leaves 0.4 s worth of writes for fencing.
var reservedShares = [priorityCount]float64{Finishing: 0, Renewing: 0.1, Configuring: 0.2, Starting: 0.4}

// burstWindow is the time over which unused budget accumulates.
const burstWindow = time.Second

// bucket is a token bucket with a reserve for each priority.
type bucket struct {
	rate      float64
	level     float64
	updatedAt time.Time
}

func (b *bucket) capacity() float64 { return max(1, b.rate*burstWindow.Seconds()) }

// refill adds the tokens since the last call; the first call fills the bucket.
func (b *bucket) refill(now time.Time) {
	if b.updatedAt.IsZero() {
		b.level, b.updatedAt = b.capacity(), now
		return
	}
	if d := now.Sub(b.updatedAt); d > 0 {
		b.level = min(b.capacity(), b.level+b.rate*d.Seconds())
		b.updatedAt = now
	}
}

// requiredLevel returns the level at which a priority may take n tokens. A
// request larger than the bucket is granted when the bucket is full and makes
// the level negative; otherwise it could never be granted.
func (b *bucket) requiredLevel(p Priority, n int) float64 {
	return min(b.capacity()*reservedShares[p]+float64(n), b.capacity())
}

// take takes n tokens and returns 0, or returns the wait until they are available.
func (b *bucket) take(now time.Time, p Priority, n int) time.Duration {
	b.refill(now)
	if missing := b.requiredLevel(p, n) - b.level; missing > 1e-9 {
		return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
	}
	b.level -= float64(n)
	return 0
}

// Limiter keeps reads and writes of the table within the budget.
type Limiter struct {
	writes  bucket
	reads   bucket
	granted [priorityCount]int
	delayed [priorityCount]int
}

// NewLimiter returns a limiter with full buckets.
func NewLimiter(l Limits) *Limiter {
	return &Limiter{writes: bucket{rate: l.Writes}, reads: bucket{rate: l.Reads}}
}

// SetLimits changes the rates, for example after the number of entries has
// changed.
func (l *Limiter) SetLimits(now time.Time, n Limits) {
	for _, c := range []struct {
		bucket *bucket
		rate   float64
	}{{&l.writes, n.Writes}, {&l.reads, n.Reads}} {
		c.bucket.refill(now)
		c.bucket.rate = c.rate
		c.bucket.level = min(c.bucket.level, c.bucket.capacity())
	}
}

// TakeWrites takes n row writes from the budget. A positive result means that
// nothing was taken and is the minimum wait before trying again.
func (l *Limiter) TakeWrites(now time.Time, p Priority, n int) time.Duration {
	return l.record(p, l.writes.take(now, p, n))
}

// TakeReads takes n row reads from the budget. A positive result means that
// nothing was taken and is the minimum wait before trying again.
func (l *Limiter) TakeReads(now time.Time, p Priority, n int) time.Duration {
	return l.record(p, l.reads.take(now, p, n))
}

// Counts returns how many requests of a priority were granted and delayed.
func (l *Limiter) Counts(p Priority) (granted, delayed int) {
	return l.granted[p], l.delayed[p]
}

// record counts a request by whether it must wait.
func (l *Limiter) record(p Priority, wait time.Duration) time.Duration {
	if wait > 0 {
		l.delayed[p]++
	} else {
		l.granted[p]++
	}
	return wait
}
