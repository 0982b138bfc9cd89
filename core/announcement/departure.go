package announcement

import (
	"time"

	"oleandervalve"
)

// Departure is what is known of the planned end of an executor that has ended.
type Departure struct {
	State oleandervalve.ExecutorState
	// DeregisteredAt is when a deregistration arrived under the id of the executor; zero if none has.
	DeregisteredAt time.Time
}

// maxTermination is the longest time from the deregistration of an executor to its end. One whose
// deregistration isn't acknowledged ends some seconds later.
const maxTermination = 10 * time.Second

// Planned reports whether an executor that has ended has left as planned.
func (d Departure) Planned(now time.Time) bool {
	return d.State == oleandervalve.ExecutorDraining || !d.DeregisteredAt.IsZero() && now.Sub(d.DeregisteredAt) < maxTermination
}

// Concerns reports whether a deregistration may be of the present incarnation of an executor. One
// that names no start may also be of an earlier incarnation with the same id.
func Concerns(present, deregistered oleandervalve.Incarnation) bool {
	return present.ID == deregistered.ID && (deregistered.StartedAt == 0 || deregistered.StartedAt == present.StartedAt)
}
