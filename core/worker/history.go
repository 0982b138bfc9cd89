package worker

import (
	"time"

	"oleandervalve/core/interference"
)

// historyMaxAge is the age up to which a sample can be attributed to the residents
// at the time of the sample.
const historyMaxAge = 3 * time.Minute

// maxSnapshots bounds the length of the history of a worker whose residents change often.
const maxSnapshots = 24

// snapshot holds the load level and the mix of a worker from a time on.
type snapshot struct {
	at    time.Time
	level interference.Level
	mix   []interference.KindGroup
}

// recordSnapshot records the mix and the load level of the worker from now on, so
// that samples that arrive late can be attributed to the residents at their time.
func (w *Worker) recordSnapshot(now time.Time) {
	drop := 0
	// The newest snapshot older than historyMaxAge is kept, since it describes the
	// residents at that age.
	for drop+1 < len(w.history) && (now.Sub(w.history[drop+1].at) > historyMaxAge || len(w.history)-drop >= maxSnapshots) {
		drop++
	}
	var mix []interference.KindGroup
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

// MixAt returns the mix and the load level at an earlier time; false if the
// history does not reach back that far.
func (w *Worker) MixAt(at time.Time) ([]interference.KindGroup, interference.Level, bool) {
	for i := len(w.history) - 1; i >= 0; i-- {
		if !w.history[i].at.After(at) {
			return w.history[i].mix, w.history[i].level, true
		}
	}
	return nil, 0, false
}
