package dispatch

import (
	"time"

	"oleandervalve"
)

// pool is the key of the executors on which the tasks of a step may run: those of a service with the
// label that the step requires.
type pool struct {
	service oleandervalve.ServiceName
	label   string
}

// poolPauses is the number of executors of a pool, and of those that are paused or probed because of
// failures, or paused because of low speed.
type poolPauses struct{ executors, paused int }

// pausesHold reports whether pauses keep tasks of a step from executors. If too many executors of its
// pool are paused, they don't: what many executors have in common is not their own fault, and a task
// that needs one kind of executor must not wait because all of that kind are paused.
func (d *Dispatcher) pausesHold(s *step, now time.Time) bool {
	k := pool{s.job.rec.Queue.Service, s.spec.Label}
	p, ok := d.pauses[k]
	if !ok {
		for _, a := range d.sortedAgents {
			if a.evacuated || a.status.Service != k.service || !a.hasLabel(k.label) {
				continue
			}
			p.executors++
			if a.health.probing || a.isSlow(now) {
				p.paused++
			}
		}
		d.pauses[k] = p
	}
	return p.paused < int(maxPausedShare*float64(p.executors))+1
}
