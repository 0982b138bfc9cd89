package table

import (
	"math"
	"time"
)

// Priority orders the uses of the table budget; a lower value goes first.
type Priority int

const (
	// Finishing covers fencing, takeover and the end of tasks: it frees resources and is never held back by other uses.
	Finishing Priority = iota
	// Renewing covers the renewal of leases, without which running work stops.
	Renewing
	// Configuring covers operators' changes, submissions and cancellations.
	Configuring
	// Starting covers new starts, which add load and can wait.
	Starting
	priorities
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

// DefaultLimits is the share of the platform's table budget that all entries
// use together; the service sustains several hundred writes and about two
// thousand reads per second for all of its users.
var DefaultLimits = Limits{Writes: 300, Reads: 1500}

// Share returns the limits of one of n processes that divide the budget.
func (l Limits) Share(n int) Limits {
	d := float64(max(1, n))
	return Limits{Writes: l.Writes / d, Reads: l.Reads / d}
}

// reserves is the share of a full bucket that each priority leaves to those
// before it. Starts stop first when the bucket runs low, and a full burst of
// starts still leaves four tenths of a second of writes for fencing.
var reserves = [priorities]float64{Finishing: 0, Renewing: 0.1, Configuring: 0.2, Starting: 0.4}

// burst is the time over which unused budget is saved up.
const burst = time.Second

// bucket is a token bucket with reserves per priority.
type bucket struct {
	rate  float64
	level float64
	at    time.Time
}

func (b *bucket) capacity() float64 { return max(1, b.rate*burst.Seconds()) }

func (b *bucket) fill(now time.Time) {
	if b.at.IsZero() {
		b.level, b.at = b.capacity(), now
		return
	}
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.capacity(), b.level+b.rate*d.Seconds())
		b.at = now
	}
}

// floor is the level that must be reached before the priority may take n. A
// request larger than the bucket is granted from a full bucket and leaves a
// debt, or it could never be granted.
func (b *bucket) floor(p Priority, n int) float64 {
	return min(b.capacity()*reserves[p]+float64(n), b.capacity())
}

func (b *bucket) take(now time.Time, p Priority, n int) time.Duration {
	b.fill(now)
	if missing := b.floor(p, n) - b.level; missing > 1e-9 {
		return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
	}
	b.level -= float64(n)
	return 0
}

// Limiter keeps the use of the table within its budget.
type Limiter struct {
	writes  bucket
	reads   bucket
	granted [priorities]int
	delayed [priorities]int
}

// NewLimiter returns a limiter with full buckets.
func NewLimiter(l Limits) *Limiter {
	return &Limiter{writes: bucket{rate: l.Writes}, reads: bucket{rate: l.Reads}}
}

// SetLimits changes the rates, for example when the number of entries changes.
func (l *Limiter) SetLimits(now time.Time, n Limits) {
	for _, c := range []struct {
		bucket *bucket
		rate   float64
	}{{&l.writes, n.Writes}, {&l.reads, n.Reads}} {
		c.bucket.fill(now)
		c.bucket.rate = c.rate
		c.bucket.level = min(c.bucket.level, c.bucket.capacity())
	}
}

// Write takes n row writes; a positive result means that nothing was taken and
// is the earliest time after which it is worth asking again.
func (l *Limiter) Write(now time.Time, p Priority, n int) time.Duration {
	return l.count(p, l.writes.take(now, p, n))
}

// Read takes n row reads; a positive result means that nothing was taken and
// is the earliest time after which it is worth asking again.
func (l *Limiter) Read(now time.Time, p Priority, n int) time.Duration {
	return l.count(p, l.reads.take(now, p, n))
}

// Counts returns how many requests of a priority were granted and put off.
func (l *Limiter) Counts(p Priority) (granted, delayed int) {
	return l.granted[p], l.delayed[p]
}

func (l *Limiter) count(p Priority, wait time.Duration) time.Duration {
	if wait > 0 {
		l.delayed[p]++
	} else {
		l.granted[p]++
	}
	return wait
}
