package credit

import (
	"sort"
	"time"

	"oleandervalve"
)

// ClassShare is the share of a service's capacity that one class gets.
type ClassShare struct {
	Class oleandervalve.ClassName
	// Weight is the class's relative share of the capacity beyond the floors;
	// values of 0 or less count as 1.
	Weight float64
	// Floor is the guaranteed share of capacity, from 0 to 1.
	Floor float64
}

// Demand counts the waiting requests of one class for a service at an entry.
type Demand struct {
	Service oleandervalve.ServiceName
	Class   oleandervalve.ClassName
	Waiting int
	// Teams is the number of teams with waiting requests; 0 counts as 1.
	// Entries share a class's slots in proportion to it.
	Teams int
}

// initialMean is the assumed service time of a class before the first
// measurement. It is equal for all classes, so that they are charged alike until
// then, and sets the unit of virtual time.
const initialMean = 10 * time.Millisecond

// maxLagServiceTimes limits the unused or overused floor that is carried over,
// in mean service times of one slot. The limit is high enough to average out
// the fraction of a floor that isn't a whole slot, and too low for a long
// burst.
const maxLagServiceTimes = 4

type class struct {
	share       ClassShare
	used        int
	virtualTime float64
	mean        float64
	measured    bool
	// lag is the slot time, in seconds, by which use has been below the floor;
	// it is negative if use has been above the floor.
	lag       float64
	updatedAt time.Time
}

// advance adds the difference between floor and use since the last update to
// the lag.
func (c *class) advance(now time.Time, capacity int) {
	if d := now.Sub(c.updatedAt).Seconds(); d > 0 && !c.updatedAt.IsZero() {
		limit := maxLagServiceTimes * c.mean
		c.lag += d * (c.share.Floor*float64(capacity) - float64(c.used))
		c.lag = min(max(c.lag, -limit), limit)
	}
	c.updatedAt = now
}

// floorUtilisation returns the share of its floor that a class uses, or 1 if
// the floor doesn't cover another slot. Another slot is covered if it lies
// within the floor as a whole, or if the class has recently used less than its
// floor. Rounding up all floors would guarantee more slots than exist if there
// are few.
func (c *class) floorUtilisation(capacity int) float64 {
	floor := c.share.Floor * float64(capacity)
	if used := float64(c.used); used+1 <= floor || (used < floor && c.lag > 0) {
		return used / floor
	}
	return 1
}

// Shares accounts for the slots that the classes of one service use.
//
// A class below its floor, in whole slots or on average, is served first. Slots
// beyond the floors are shared by start-time fair queueing: a class is charged
// its mean service time divided by its weight for each of them, so that classes
// with long requests get no more slot time than their weight allows.
type Shares struct {
	classes      map[oleandervalve.ClassName]*class
	virtualClock float64
	capacity     int
}

// NewShares returns shares in which every class has weight 1 and no floor.
func NewShares() *Shares {
	return &Shares{classes: map[oleandervalve.ClassName]*class{}}
}

// Configure replaces the shares of all classes and keeps the record of slots in
// use. A class that is not listed gets weight 1 and no floor.
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

// Take counts one slot of the capacity as used by a class and returns the
// virtual time charged for it, which is 0 for a slot within the floor.
func (s *Shares) Take(now time.Time, n oleandervalve.ClassName, capacity int) float64 {
	s.capacity = capacity
	c := s.class(n)
	c.advance(now, capacity)
	withinFloor := c.floorUtilisation(capacity) < 1
	c.used++
	if withinFloor {
		return 0
	}
	start := max(c.virtualTime, s.virtualClock)
	s.virtualClock = start
	charge := c.mean / c.share.Weight
	c.virtualTime = start + charge
	return charge
}

// Undo frees a slot that was taken but not used, and refunds its charge.
func (s *Shares) Undo(now time.Time, n oleandervalve.ClassName, charge float64) {
	c := s.class(n)
	c.advance(now, s.capacity)
	c.used = max(0, c.used-1)
	c.virtualTime -= charge
}

// Done frees a slot after use and adds its service time to the mean. A service
// time of 0 is not counted.
func (s *Shares) Done(now time.Time, n oleandervalve.ClassName, serviceTime time.Duration) {
	c := s.class(n)
	c.advance(now, s.capacity)
	c.used = max(0, c.used-1)
	if serviceTime <= 0 {
		return
	}
	if !c.measured {
		c.mean, c.measured = serviceTime.Seconds(), true
		return
	}
	c.mean += 0.05 * (serviceTime.Seconds() - c.mean)
}

// Used returns the number of slots that a class uses.
func (s *Shares) Used(n oleandervalve.ClassName) int {
	if c := s.classes[n]; c != nil {
		return c.used
	}
	return 0
}

// MeanServiceTime returns the measured mean service time of a class, or 0 before the first measurement.
func (s *Shares) MeanServiceTime(n oleandervalve.ClassName) time.Duration {
	if c := s.classes[n]; c != nil && c.measured {
		return time.Duration(c.mean * float64(time.Second))
	}
	return 0
}

// Next returns the index of the waiting class that gets the next of capacity
// slots, or -1 if no class waits. Ties go to the lower index.
func (s *Shares) Next(now time.Time, capacity int, waiting []oleandervalve.ClassName) int {
	s.capacity = capacity
	best, bestUtilisation, bestVirtual := -1, 0.0, 0.0
	for i, n := range waiting {
		c := s.class(n)
		c.advance(now, capacity)
		utilisation, virtual := c.floorUtilisation(capacity), max(c.virtualTime, s.virtualClock)
		if best < 0 || utilisation < bestUtilisation || (utilisation == bestUtilisation && virtual < bestVirtual) {
			best, bestUtilisation, bestVirtual = i, utilisation, virtual
		}
	}
	return best
}

// SortClasses sorts class names so that decisions don't depend on the order of a map.
func SortClasses(list []oleandervalve.ClassName) {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
}
