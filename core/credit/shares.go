package credit

import (
	"sort"
	"time"

	"oleandervalve"
)

// ClassShare is the share of a service's capacity that one class gets.
type ClassShare struct {
	Class oleandervalve.ClassName
	// Weight is the class's share of the capacity beyond the floors; values up to 0 count as 1.
	Weight float64
	// Floor is the guaranteed share of capacity, from 0 to 1.
	Floor float64
}

// Demand counts the requests of one class that wait for a service at an entry.
type Demand struct {
	Service oleandervalve.ServiceName
	Class   oleandervalve.ClassName
	Waiting int
	// Teams counts the teams of the waiting requests; entries share a class's
	// slots in proportion to it, and 0 counts as 1.
	Teams int
}

// initialMean is the assumed service time of a class before the first
// measurement; it only sets the unit of virtual time, equal for all classes.
const initialMean = 10 * time.Millisecond

// lagServices bounds, in mean service times of one slot, how much unused or
// overused floor is remembered: enough to average the fraction of a floor that
// isn't a whole slot, too little for a long burst.
const lagServices = 4

type class struct {
	share    ClassShare
	used     int
	virtual  float64
	mean     float64
	measured bool
	// lag is the slot time, in seconds, by which the use stayed below the floor.
	lag float64
	at  time.Time
}

// advance sums up the difference between floor and use since the last event.
func (c *class) advance(now time.Time, capacity int) {
	if d := now.Sub(c.at).Seconds(); d > 0 && !c.at.IsZero() {
		limit := lagServices * c.mean
		c.lag += d * (c.share.Floor*float64(capacity) - float64(c.used))
		c.lag = min(max(c.lag, -limit), limit)
	}
	c.at = now
}

// fill tells how much of its floor a class uses, 1 from the floor on. The last
// slot counts if it lies within the floor as a whole, or if the class used less
// than its floor lately: with few slots, rounding all floors up would promise
// more than there is.
func (c *class) fill(capacity int) float64 {
	floor := c.share.Floor * float64(capacity)
	if used := float64(c.used); used+1 <= floor || (used < floor && c.lag > 0) {
		return used / floor
	}
	return 1
}

// Shares accounts for the slots that the classes of one service use.
//
// A class below its floor, in whole slots or on average, is served first. Slots beyond the floors are shared
// by start-time fair queueing: a class pays its mean service time divided by
// its weight for each of them, so classes with long requests get no more slot
// time than their weight.
type Shares struct {
	classes  map[oleandervalve.ClassName]*class
	clock    float64
	capacity int
}

// NewShares returns shares in which every class has weight 1 and no floor.
func NewShares() *Shares {
	return &Shares{classes: map[oleandervalve.ClassName]*class{}}
}

// Configure replaces the shares; the use of slots is kept.
func (s *Shares) Configure(list []ClassShare) {
	for _, c := range s.classes {
		c.share = ClassShare{Class: c.share.Class, Weight: 1}
	}
	for _, x := range list {
		if x.Weight <= 0 {
			x.Weight = 1
		}
		s.class(x.Class).share = x
	}
}

func (s *Shares) class(n oleandervalve.ClassName) *class {
	c := s.classes[n]
	if c == nil {
		c = &class{share: ClassShare{Class: n, Weight: 1}, mean: initialMean.Seconds()}
		s.classes[n] = c
	}
	return c
}

// Take counts one slot of capacity for a class and returns the virtual time
// charged for it.
func (s *Shares) Take(now time.Time, n oleandervalve.ClassName, capacity int) float64 {
	s.capacity = capacity
	c := s.class(n)
	c.advance(now, capacity)
	free := c.fill(capacity) < 1
	c.used++
	if free {
		return 0
	}
	start := max(c.virtual, s.clock)
	s.clock = start
	charge := c.mean / c.share.Weight
	c.virtual = start + charge
	return charge
}

// Undo gives back a slot that was taken but not used, with its charge.
func (s *Shares) Undo(now time.Time, n oleandervalve.ClassName, charge float64) {
	c := s.class(n)
	c.advance(now, s.capacity)
	c.used = max(0, c.used-1)
	c.virtual -= charge
}

// Done gives back a slot after use and records how long it was held.
func (s *Shares) Done(now time.Time, n oleandervalve.ClassName, held time.Duration) {
	c := s.class(n)
	c.advance(now, s.capacity)
	c.used = max(0, c.used-1)
	if held <= 0 {
		return
	}
	if !c.measured {
		c.mean, c.measured = held.Seconds(), true
		return
	}
	c.mean += 0.05 * (held.Seconds() - c.mean)
}

// Used returns the number of slots that a class uses.
func (s *Shares) Used(n oleandervalve.ClassName) int {
	if c := s.classes[n]; c != nil {
		return c.used
	}
	return 0
}

// Mean returns the measured mean service time of a class, or 0 before the first measurement.
func (s *Shares) Mean(n oleandervalve.ClassName) time.Duration {
	if c := s.classes[n]; c != nil && c.measured {
		return time.Duration(c.mean * float64(time.Second))
	}
	return 0
}

// Next returns the index of the waiting class that the next of capacity slots
// belongs to, or -1 if none waits; equal claims go to the earlier index.
func (s *Shares) Next(now time.Time, capacity int, waiting []oleandervalve.ClassName) int {
	s.capacity = capacity
	best, bestFill, bestVirtual := -1, 0.0, 0.0
	for i, n := range waiting {
		c := s.class(n)
		c.advance(now, capacity)
		fill, virtual := c.fill(capacity), max(c.virtual, s.clock)
		if best < 0 || fill < bestFill || (fill == bestFill && virtual < bestVirtual) {
			best, bestFill, bestVirtual = i, fill, virtual
		}
	}
	return best
}

// SortClasses sorts class names so that decisions don't depend on the order of a map.
func SortClasses(list []oleandervalve.ClassName) {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
}
