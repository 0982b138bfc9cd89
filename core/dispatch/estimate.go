package dispatch

import (
	"math"
	"time"

	"oleandervalve/core/work"
)

const (
	// minRuns is the number of runs from which on the learned estimates of a queue replace
	// the declared ones.
	minRuns = 12
	// estimateRidge is a ridge penalty that shrinks the slope towards zero, because
	// declared run times are rough.
	estimateRidge = 2.0
)

// runTimeModel predicts the run times of a queue's tasks from the declared ones by linear
// regression of their logarithms.
type runTimeModel struct {
	N     float64 `cbor:"1,keyasint"`
	SumX  float64 `cbor:"2,keyasint"`
	SumY  float64 `cbor:"3,keyasint"`
	SumXX float64 `cbor:"4,keyasint"`
	SumXY float64 `cbor:"5,keyasint"`
}

func (m *runTimeModel) add(declared, measured time.Duration) {
	if declared <= 0 || measured <= 0 {
		return
	}
	x, y := math.Log(declared.Seconds()), math.Log(measured.Seconds())
	m.N++
	m.SumX += x
	m.SumY += y
	m.SumXX += x * x
	m.SumXY += x * y
}

// expected returns the predicted run time for a declared one.
func (m *runTimeModel) expected(declared time.Duration) time.Duration {
	if m == nil || m.N < minRuns || declared <= 0 {
		return declared
	}
	meanX, meanY := m.SumX/m.N, m.SumY/m.N
	slope := (m.SumXY - m.N*meanX*meanY) / (m.SumXX - m.N*meanX*meanX + estimateRidge)
	slope = min(max(0, slope), 1)
	return time.Duration(math.Exp(meanY+slope*(math.Log(declared.Seconds())-meanX)) * float64(time.Second))
}

// learnRunTime adds the run time of a successful run to the model of its queue.
func (d *Dispatcher) learnRunTime(q work.QueueName, declared, measured time.Duration) {
	m := d.runTimeModels[q]
	if m == nil {
		m = &runTimeModel{}
		d.runTimeModels[q] = m
	}
	m.add(declared, measured)
}

// estimate returns the expected run time of a task of a step.
func (d *Dispatcher) estimate(s *step) time.Duration {
	return d.runTimeModels[s.job.rec.Queue.Name].expected(s.spec.Estimate)
}
