package announcement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against a crash that counts as a planned end because of an old deregistration, and
// against a planned end that counts as a crash.
func TestPlannedDeparture(t *testing.T) {
	now := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	for _, tt := range []struct {
		name      string
		departure Departure
		planned   bool
	}{
		{"ready", Departure{State: oleandervalve.ExecutorReady}, false},
		{"draining", Departure{State: oleandervalve.ExecutorDraining}, true},
		{"deregistered", Departure{State: oleandervalve.ExecutorReady, DeregisteredAt: now.Add(-3 * time.Second)}, true},
		{"deregistered long ago", Departure{State: oleandervalve.ExecutorReady, DeregisteredAt: now.Add(-11 * time.Second)}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.departure.Planned(now), tt.planned)
		})
	}
}

// Guards against a deregistration of another incarnation or executor that counts for the present one.
func TestDeregistrationConcerns(t *testing.T) {
	is := is.New(t)
	present := oleandervalve.Incarnation{ID: "i-1", StartedAt: 20}
	is.True(Concerns(present, present))
	is.True(Concerns(present, oleandervalve.Incarnation{ID: "i-1"}))
	is.True(!Concerns(present, oleandervalve.Incarnation{ID: "i-1", StartedAt: 10}))
	is.True(!Concerns(present, oleandervalve.Incarnation{ID: "i-2"}))
}
