package overload

import (
	"math"
	"time"
)

const (
	// ZeroValueFactor is the multiple of the objective after which the completion of a job has
	// no value to its caller, as the callers' interface defines it.
	ZeroValueFactor = 3
	// lateValue is the value of a late completion relative to one in time. Callers say that it is
	// a small part; its exact size matters little, as it only has to rank late work behind work
	// that can be in time and before work without any value.
	lateValue = 0.15
	// fixedShare is the part of a job's value that doesn't grow with its work.
	fixedShare = 0.3
	// maxRelativeValue limits the value of a job relative to the mean of its queue.
	maxRelativeValue = 4
	// minRemaining is the least remaining share of a job's work that counts. Without it, the
	// last task of each job would go before all others, whatever it needs.
	minRemaining = 0.05
)

// Work is the waiting work of a job and what its caller needs.
type Work struct {
	Queue    Queue
	Priority int
	// Total and Remaining are the work of the job, and the part that is not done, in core-seconds.
	Total, Remaining float64
	// Objective is the time in which the job is wanted, TimeLeft the part of it that is left,
	// and Path the expected time to completion if the job isn't kept waiting.
	Objective, TimeLeft, Path time.Duration
	// LongRunning means that the work has no end, and each task that waits is missed at once.
	LongRunning bool
	// Scheduled means that the job starts after its submission or repeats. Its outcome says nothing
	// about the load at its submission and isn't counted.
	Scheduled bool
}

// priorityWeight returns the value of work of a priority relative to priority 0: each counts half of
// the one before.
func priorityWeight(priority int) float64 { return math.Ldexp(1, -priority) }

// value estimates what a completion in time is worth to the caller, in core-seconds of priority 0.
// The fixed part lets small jobs be worth more than their work.
func (s *Sizes) value(w Work) float64 {
	mean := s.mean(w.Queue)
	if mean <= 0 {
		mean = w.Total
	}
	return priorityWeight(w.Priority) * min(maxRelativeValue*mean, fixedShare*mean+(1-fixedShare)*w.Total)
}

// Density returns the expected value of the work by core-second that it still needs.
func (s *Sizes) Density(w Work) float64 {
	if w.LongRunning {
		return priorityWeight(w.Priority) * longRunningDensity
	}
	return s.valueDensity(w) * usefulness(w)
}

// valueDensity returns the value of the work by core-second if it is in time.
func (s *Sizes) valueDensity(w Work) float64 {
	return s.value(w) / max(w.Remaining, minRemaining*w.Total, 1e-9)
}

// longRunningDensity ranks long-running work before all other work of its priority in the order by
// density alone. The densest other work has at most fixedShare times the mean work of its queue
// relative to its own.
const longRunningDensity = 1e6

// usefulness returns the expected share of a job's value that is left if the job goes next.
func usefulness(w Work) float64 {
	inTime := chance(w.TimeLeft, w.Path)
	inUse := chance(w.TimeLeft+(ZeroValueFactor-1)*w.Objective, w.Path)
	return inTime + lateValue*max(0, inUse-inTime)
}

// chance returns the chance that work with an expected time ends within another. Run times are off by
// half and more, so that half the expected time leaves a chance of 1 in 65, and twice of 64 in 65.
// Exponents from 2 to 12 earned the same in the floods of the experiment within 0.01.
func chance(left, expected time.Duration) float64 {
	if left <= 0 {
		return 0
	}
	r := left.Seconds() / max(expected.Seconds(), 1e-3)
	r3 := r * r * r
	return 1 - 1/(1+r3*r3)
}
