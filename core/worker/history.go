package worker

import (
	"time"

	"oleandervalve/core/interference"
)

// historyAge is how far back a sample may lie; older samples are not attributed.
const historyAge = 3 * time.Minute

// historyLength bounds the memory of a worker whose residents change often.
const historyLength = 24

type snapshot struct {
	at    time.Time
	level interference.Level
	mix   []interference.Neighbour
}

// remember keeps the residents of the worker from this time on, for samples
// that describe it later.
func (w *Worker) remember(now time.Time) {
	drop := 0
	// The newest snapshot that is older than the limit still describes the limit.
	for drop+1 < len(w.history) && (now.Sub(w.history[drop+1].at) > historyAge || len(w.history)-drop >= historyLength) {
		drop++
	}
	var mix []interference.Neighbour
	if drop > 0 {
		mix = w.history[drop-1].mix[:0]
		w.history = append(w.history[:0], w.history[drop:]...)
	}
	if n := len(w.history); n > 0 && w.history[n-1].at.Equal(now) {
		mix = w.history[n-1].mix[:0]
		w.history = w.history[:n-1]
	}
	w.history = append(w.history, snapshot{at: now, level: interference.LevelOf(w.Load()), mix: append(mix, w.mix...)})
}

// At returns the residents and the load level at an earlier time; false if the
// time lies before what is remembered.
func (w *Worker) At(at time.Time) ([]interference.Neighbour, interference.Level, bool) {
	for i := len(w.history) - 1; i >= 0; i-- {
		if !w.history[i].at.After(at) {
			return w.history[i].mix, w.history[i].level, true
		}
	}
	return nil, 0, false
}
