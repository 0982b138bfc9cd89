package instance

import (
	"sort"
	"time"

	"oleandervalve"
)

// rememberReleased is how long the epoch of a released task is kept, so that a
// delayed reservation doesn't take resources that nobody would release.
const rememberReleased = time.Hour

// Reservation is what one task holds of the instance.
type Reservation struct {
	Task  oleandervalve.TaskID
	Epoch oleandervalve.Epoch
	Size  oleandervalve.Resources
}

type released struct {
	epoch oleandervalve.Epoch
	at    time.Time
}

type reservations struct {
	rebuilt  bool
	capacity oleandervalve.Resources
	reserved oleandervalve.Resources
	tasks    map[oleandervalve.TaskID]Reservation
	released map[oleandervalve.TaskID]released
}

func newReservations() reservations {
	return reservations{
		tasks:    map[oleandervalve.TaskID]Reservation{},
		released: map[oleandervalve.TaskID]released{},
	}
}

func (r *reservations) forget(now time.Time) {
	for t, x := range r.released {
		if now.Sub(x.at) > rememberReleased {
			delete(r.released, t)
		}
	}
}

// Rebuild sets the worker's capacity and the tasks that run there; until the
// first call no task is reserved.
func (l *Ledger) Rebuild(capacity oleandervalve.Resources, running []Reservation) {
	w := newReservations()
	w.rebuilt, w.capacity, w.released = true, capacity, l.worker.released
	for _, x := range running {
		if old, held := w.tasks[x.Task]; held {
			w.reserved = w.reserved.Sub(old.Size)
			x.Epoch = max(x.Epoch, old.Epoch)
		}
		w.tasks[x.Task] = x
		w.reserved = w.reserved.Add(x.Size)
	}
	l.worker = w
}

// Rebuilt reports whether the worker's tasks are known.
func (l *Ledger) Rebuilt() bool { return l.worker.rebuilt }

// Reserve takes resources for a task under an epoch or refuses with a
// *oleandervalve.NotRunError; repeating a successful call has no effect.
func (l *Ledger) Reserve(_ time.Time, t oleandervalve.TaskID, e oleandervalve.Epoch, size oleandervalve.Resources) error {
	w := &l.worker
	held, ok := w.tasks[t]
	switch {
	case !w.rebuilt:
		return refuse("notRebuilt", "wait until the agent has read the platform's status of its worker")
	case ok && held.Epoch == e:
		return nil
	case ok && held.Epoch > e, w.released[t].epoch >= e && e > 0:
		return refuse("staleEpoch", "read the task's record and use its current epoch")
	case ok:
		return refuse("earlierEpochHeld", "wait until the task's earlier epoch has stopped")
	case l.draining:
		return refuse("instanceDraining", "place the task on another worker")
	case size.IsNegative():
		return refuse("invalidSize", "use a size without negative amounts")
	case !w.reserved.Add(size).Fits(w.capacity):
		return refuse("noCapacity", "place the task on another worker")
	}
	w.tasks[t] = Reservation{t, e, size}
	w.reserved = w.reserved.Add(size)
	return nil
}

// Release gives the resources of a task back if it holds them under this or an
// earlier epoch, and reports whether it did; later reservations under these
// epochs are refused.
func (l *Ledger) Release(now time.Time, t oleandervalve.TaskID, e oleandervalve.Epoch) bool {
	w := &l.worker
	if e >= w.released[t].epoch {
		w.released[t] = released{e, now}
	}
	return l.Free(t, e)
}

// Free gives the resources of a task back if it holds them under this or an
// earlier epoch, and reports whether it did. Unlike Release it leaves the epochs
// usable, for a caller that fences them itself.
func (l *Ledger) Free(t oleandervalve.TaskID, e oleandervalve.Epoch) bool {
	w := &l.worker
	held, ok := w.tasks[t]
	if !ok || held.Epoch > e {
		return false
	}
	delete(w.tasks, t)
	w.reserved = w.reserved.Sub(held.Size)
	return true
}

// Resize changes what a task holds under an epoch; growth beyond the free
// resources is refused with a *oleandervalve.NotRunError and changes nothing.
func (l *Ledger) Resize(t oleandervalve.TaskID, e oleandervalve.Epoch, size oleandervalve.Resources) error {
	w := &l.worker
	held, ok := w.tasks[t]
	after := w.reserved.Sub(held.Size).Add(size)
	switch {
	case !ok || held.Epoch != e:
		return refuse("staleEpoch", "read the task's record and use its current epoch")
	case size.IsNegative():
		return refuse("invalidSize", "use a size without negative amounts")
	case grows(held.Size, size) && !after.Fits(w.capacity):
		return refuse("noCapacity", "move another task away first")
	}
	w.tasks[t] = Reservation{t, e, size}
	w.reserved = after
	return nil
}

func grows(from, to oleandervalve.Resources) bool { return !to.Fits(from) }

// FreeResources returns the worker's resources that no task holds.
func (l *Ledger) FreeResources() oleandervalve.Resources {
	return l.worker.capacity.Sub(l.worker.reserved)
}

// Reservations lists the tasks that hold resources, in the order of their ids.
func (l *Ledger) Reservations() []Reservation {
	out := make([]Reservation, 0, len(l.worker.tasks))
	for _, x := range l.worker.tasks {
		out = append(out, x)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Task < out[j].Task })
	return out
}
