package endpoint

import (
	"time"

	"oleandervalve"
	"oleandervalve/core/caller"
)

// Next pairs the next waiting request of a service with a credit, or returns
// false if no request waits or no credit is usable. A credit granted for a
// class serves that class, and another class only if no request of its own
// class waits. After the last pair, the caller sends the results of TakeSurplus
// and DemandUpdates to the agents.
func (d *Directory) Next(now time.Time, service oleandervalve.ServiceName, q *caller.Queue) (caller.Request, Assignment, bool) {
	if q.Len() == 0 {
		return caller.Request{}, Assignment{}, false
	}
	a, ok := d.Take(now, service)
	if !ok {
		return caller.Request{}, Assignment{}, false
	}
	r, ok := q.Pop(now, a.Class)
	if !ok && a.Class != "" {
		r, ok = q.Pop(now, "")
	}
	if !ok {
		d.Restore(now, a)
	}
	return r, a, ok
}
