package instance

import (
	"sort"
	"time"

	"oleandervalve"
)

// releasedRetention is how long the epoch of a released task is recorded. A
// delayed reservation under that epoch is refused, because nobody would release
// its resources.
const releasedRetention = time.Hour

// Reservation describes the resources that one task holds on the instance.
type Reservation struct {
	Task  oleandervalve.TaskID
	Epoch oleandervalve.Epoch
	Size  oleandervalve.Resources
}

// releasedEpoch is the latest epoch under which a task was released.
type releasedEpoch struct {
	epoch oleandervalve.Epoch
	at    time.Time
}

// reservations accounts for the worker's resources. Until rebuilt is set, the
// running tasks are unknown and no task can reserve resources.
type reservations struct {
	rebuilt  bool
	capacity oleandervalve.Resources
	reserved oleandervalve.Resources
	tasks    map[oleandervalve.TaskID]Reservation
	released map[oleandervalve.TaskID]releasedEpoch
}

func newReservations() reservations {
	return reservations{
		tasks:    map[oleandervalve.TaskID]Reservation{},
		released: map[oleandervalve.TaskID]releasedEpoch{},
	}
}

func (r *reservations) discardOld(now time.Time) {
	for t, x := range r.released {
		if now.Sub(x.at) > releasedRetention {
			delete(r.released, t)
		}
	}
}

// Rebuild sets the worker's capacity and the tasks that run on it. Reserve
// refuses all tasks before the first call of Rebuild.
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

// Rebuilt reports whether Rebuild has been called, so that the worker's tasks
// are known.
func (l *Ledger) Rebuilt() bool { return l.worker.rebuilt }

// Reserve allocates resources to a task under an epoch, or refuses with a
// *oleandervalve.NotRunError. It is idempotent: repeating a successful call has
// no effect.
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

// Release frees the resources that a task holds under this or an earlier epoch,
// and reports whether it held any. Later reservations under these epochs are
// refused.
func (l *Ledger) Release(now time.Time, t oleandervalve.TaskID, e oleandervalve.Epoch) bool {
	w := &l.worker
	if e >= w.released[t].epoch {
		w.released[t] = releasedEpoch{e, now}
	}
	return l.ReleaseUnfenced(t, e)
}

// ReleaseUnfenced frees the resources that a task holds under this or an
// earlier epoch, and reports whether it held any. Unlike Release, it doesn't
// refuse later reservations under these epochs; it is for callers that fence
// the epochs themselves.
func (l *Ledger) ReleaseUnfenced(t oleandervalve.TaskID, e oleandervalve.Epoch) bool {
	w := &l.worker
	held, ok := w.tasks[t]
	if !ok || held.Epoch > e {
		return false
	}
	delete(w.tasks, t)
	w.reserved = w.reserved.Sub(held.Size)
	return true
}

// Resize changes the resources that a task holds under an epoch. Growth beyond
// the free resources is refused with a *oleandervalve.NotRunError and changes
// nothing.
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

// Reservations lists the tasks that hold resources, sorted by task id.
func (l *Ledger) Reservations() []Reservation {
	out := make([]Reservation, 0, len(l.worker.tasks))
	for _, x := range l.worker.tasks {
		out = append(out, x)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Task < out[j].Task })
	return out
}
