package pacing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// lookEvery is the period of the looks in these tests.
const lookEvery = 300 * time.Millisecond

// limits are those of the users' first deployments.
var limits = Limits{HarmAfter: 4 * time.Second, PaceDelay: 100 * time.Millisecond}

func never(oleandervalve.KindName) bool  { return false }
func always(oleandervalve.KindName) bool { return true }

// play gives the pacer one tail for a time and returns the last pace.
func play(p *Pacer, from time.Time, d, tail time.Duration, light func(oleandervalve.KindName) bool) time.Time {
	for end := from.Add(d); from.Before(end); from = from.Add(lookEvery) {
		p.Observe(from, []Tail{{Image: "board", Latency: tail, Target: 100 * time.Millisecond}}, light)
	}
	return from
}

// Guards against filling tasks that still work when a serving task has been
// over its target for three of the four seconds that are allowed.
func TestPacerHaltsInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		tail  time.Duration
		light func(oleandervalve.KindName) bool
	}{
		{"just over, known to disturb", 101 * time.Millisecond, never},
		{"far over, known to disturb", 900 * time.Millisecond, never},
		{"just over, thought light", 101 * time.Millisecond, always},
		{"far over, thought light", 900 * time.Millisecond, always},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := New(limits)
			play(p, time.Unix(100, 0), 3*time.Second, c.tail, c.light)
			is.Equal(p.Pace(), 0)
		})
	}
}

// Guards against light filling tasks that are slowed for a latency near the target.
func TestPacerLeavesLightTasksAlone(t *testing.T) {
	is := is.New(t)
	p := New(limits)
	play(p, time.Unix(100, 0), 5*time.Second, 98*time.Millisecond, always)
	is.Equal(p.Pace(), Full)
}

// Guards against a pace that never recovers, and against one that flutters
// inside the band.
func TestPacerRecoversInSteps(t *testing.T) {
	is := is.New(t)
	p := New(limits)
	now := play(p, time.Unix(100, 0), 3*time.Second, 900*time.Millisecond, never)
	is.Equal(p.Pace(), 0)
	now = play(p, now, 2*time.Second, 50*time.Millisecond, never)
	half := p.Pace()
	is.True(half > 0 && half < Full)
	now = play(p, now, 3*time.Second, 80*time.Millisecond, never)
	is.Equal(p.Pace(), half)
	play(p, now, 10*time.Second, 50*time.Millisecond, never)
	is.Equal(p.Pace(), Full)
}

// Guards against a second change before the effect of the first can be seen.
func TestPacerWaitsForTheEffect(t *testing.T) {
	is := is.New(t)
	p := New(limits)
	now := time.Unix(100, 0)
	over := []Tail{{Image: "board", Latency: 110 * time.Millisecond, Target: 100 * time.Millisecond}}
	first := p.Observe(now, over, never)
	is.True(first < Full)
	is.Equal(p.Observe(now.Add(limits.settle()/2), over, never), first)
}

// Guards against a new task at full pace where a lower one was predicted.
func TestPacerBeginsAtThePredictedPace(t *testing.T) {
	is := is.New(t)
	p := New(limits)
	p.Begin(time.Unix(100, 0), 60)
	is.Equal(p.Pace(), 60)
	p.Begin(time.Unix(101, 0), 100) // a higher prediction doesn't raise a lower pace
	is.Equal(p.Pace(), 60)
}

// Guards against a bound of a deployment that the pace does not follow: with
// half the time, filling tasks halt in half the time.
func TestPacerFollowsTheBound(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		is := is.New(t)
		p := New(Limits{HarmAfter: bound, PaceDelay: 100 * time.Millisecond})
		from := play(p, time.Unix(100, 0), bound/4, 101*time.Millisecond, always)
		is.Equal(p.Pace(), Full)
		play(p, from, bound/2, 101*time.Millisecond, always)
		is.Equal(p.Pace(), 0)
	}
}
