package dispatch

import (
	"math"
	"time"

	"oleandervalve/core/work"
)

const (
	// enoughRuns is how many runs of a queue make its estimates better than the
	// declared ones.
	enoughRuns = 12
	// estimateRidge pulls the slope to zero, as declared times are rough.
	estimateRidge = 2.0
)

// durations learns the run times of a queue's tasks from the declared ones: a
// linear regression of the logarithms.
type durations struct {
	N     float64 `cbor:"1,keyasint"`
	SumX  float64 `cbor:"2,keyasint"`
	SumY  float64 `cbor:"3,keyasint"`
	SumXX float64 `cbor:"4,keyasint"`
	SumXY float64 `cbor:"5,keyasint"`
}

func (e *durations) add(declared, taken time.Duration) {
	if declared <= 0 || taken <= 0 {
		return
	}
	x, y := math.Log(declared.Seconds()), math.Log(taken.Seconds())
	e.N++
	e.SumX += x
	e.SumY += y
	e.SumXX += x * x
	e.SumXY += x * y
}

// expected returns the run time to be expected for a declared one.
func (e *durations) expected(declared time.Duration) time.Duration {
	if e == nil || e.N < enoughRuns || declared <= 0 {
		return declared
	}
	meanX, meanY := e.SumX/e.N, e.SumY/e.N
	slope := (e.SumXY - e.N*meanX*meanY) / (e.SumXX - e.N*meanX*meanX + estimateRidge)
	slope = min(max(0, slope), 1)
	return time.Duration(math.Exp(meanY+slope*(math.Log(declared.Seconds())-meanX)) * float64(time.Second))
}

// learnDuration takes the time of a successful run.
func (d *Dispatcher) learnDuration(q work.QueueName, declared, taken time.Duration) {
	e := d.durations[q]
	if e == nil {
		e = &durations{}
		d.durations[q] = e
	}
	e.add(declared, taken)
}

// estimate is the expected run time of a task of a step.
func (d *Dispatcher) estimate(s *step) time.Duration {
	return d.durations[s.job.rec.Queue.Name].expected(s.spec.Estimate)
}
