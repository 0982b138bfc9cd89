package leasebound

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against runs that go on in an executor that has started again under its id after their
// leases count as ended: a call to its earlier incarnation has extended them.
func TestBoundOfFirstMeeting(t *testing.T) {
	const proofLifetime = 7 * time.Second
	sent := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	answered := sent.Add(500 * time.Millisecond)
	limits := Limits{Requested: 6 * time.Second, Granted: 10 * time.Second}
	present := oleandervalve.Incarnation{ID: "i-1", StartedAt: 20}
	known := Bound{End: sent.Add(4 * time.Second), Foreign: sent.Add(3 * time.Second)}
	requested := Bound{End: sent.Add(6180 * time.Millisecond)}
	granted := answered.Add(10300 * time.Millisecond)
	for _, tt := range []struct {
		name    string
		earlier oleandervalve.Incarnation
		first   bool
		uptime  time.Duration
		want    Bound
	}{
		{"same incarnation", present, false, time.Second, known},
		{"same id, started again", oleandervalve.Incarnation{ID: "i-1", StartedAt: 10}, false, time.Second, Bound{granted, granted}},
		{"same id, the time of day has jumped back", oleandervalve.Incarnation{ID: "i-1", StartedAt: 30}, false, time.Hour, Bound{granted, granted}},
		{"other id", oleandervalve.Incarnation{ID: "i-0", StartedAt: 10}, false, time.Second, requested},
		{"new agent, executor has just started", oleandervalve.Incarnation{}, false, time.Second, Bound{granted, granted}},
		{"new agent, first start of the system", oleandervalve.Incarnation{}, true, time.Second, requested},
		{"new agent", oleandervalve.Incarnation{}, false, time.Minute, requested},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := limits.Meet(Meeting{Earlier: tt.earlier, Known: known, Present: present, FirstStart: tt.first, Uptime: tt.uptime, SentAt: sent, AnsweredAt: answered})
			is.Equal(b, tt.want)
			if !b.Foreign.IsZero() {
				is.Equal(b.ReadyAt(proofLifetime), b.Foreign.Add(-proofLifetime))
			}
		})
	}
}

// Guards against a run of a later incarnation that counts as ended before its lease has: the call
// that has started it asked for a shorter one of the incarnation that it was meant for.
func TestCallThatCrossed(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	limits := Limits{Requested: 6 * time.Second, Granted: 10 * time.Second}
	is.Equal(Bound{End: now.Add(6 * time.Second)}.Extend(now, limits.Granted).End, now.Add(10300*time.Millisecond))
	late := Bound{End: now.Add(11 * time.Second)}
	is.Equal(late.Extend(now, limits.Granted), late)
}

// Guards against a bound that an extension makes shorter.
func TestExtension(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	b := Bound{End: now.Add(10 * time.Second)}
	is.Equal(b.Extend(now, 6*time.Second), b)
	is.Equal(b.Extend(now.Add(5*time.Second), 6*time.Second).End, now.Add(11180*time.Millisecond))
	is.True(Bound{}.ReadyAt(time.Second).IsZero())
}
