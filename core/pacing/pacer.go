package pacing

import (
	"time"

	"oleandervalve"
)

const (
	// high and low bound the band of the tail latency, as shares of the target,
	// in which the pace stays as it is.
	high = 0.92
	low  = 0.72
	// backOff multiplies the pace while a tail is too high.
	backOff = 0.6
	// recoverStep is added to the pace, in percent, while all tails are low.
	recoverStep = 10
	// measured is the time over which executors measure loads.
	measured = 500 * time.Millisecond
	// least is the lowest pace above a full stop.
	least = 10
	// distrustShare is the share of Limits.HarmAfter for which a tail may stay over
	// its target until filling tasks that are thought not to disturb it are paced
	// as well.
	distrustShare = 0.3
	// haltShare is the same until all filling tasks halt; a tail follows a change
	// with a lag of a second.
	haltShare = 0.6
	// severe is a tail, as a share of the target, at which the pace is cut twice as much.
	severe = 1.5
	// Full is the pace of an undisturbed executor, in percent.
	Full = 100
)

// Tail is the tail latency of one serving task and its target.
type Tail struct {
	Image   oleandervalve.KindName
	Latency time.Duration
	Target  time.Duration
}

// Limits are the users' bounds on serving tasks.
type Limits struct {
	// HarmAfter is how long a serving task may be over its target because of others.
	HarmAfter time.Duration
	// PaceDelay is how long a change of pace takes to work.
	PaceDelay time.Duration
}

func (l Limits) distrust() time.Duration { return scale(l.HarmAfter, distrustShare) }
func (l Limits) halt() time.Duration     { return scale(l.HarmAfter, haltShare) }

// settle is how long a change of pace takes to show.
func (l Limits) settle() time.Duration { return l.PaceDelay + measured }

func scale(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// Pacer holds the pace of the filling tasks of one image on one executor. It
// answers the load in which filling tasks press serving tasks over their
// targets: it backs off by a factor, waits until the effect can be seen, and
// recovers in steps.
type Pacer struct {
	limits  Limits
	pace    int
	changed time.Time
	// over is when a tail first exceeded its target without a pause.
	over time.Time
}

// New returns a pacer at full pace.
func New(l Limits) *Pacer { return &Pacer{limits: l, pace: Full} }

// Pace returns the pace in percent.
func (p *Pacer) Pace() int { return p.pace }

// Begin takes the predicted pace of a task that starts.
func (p *Pacer) Begin(now time.Time, percent int) {
	if percent < p.pace {
		p.pace, p.changed = max(percent, 0), now
	}
}

// Observe takes the tails of the serving tasks and returns the pace that the
// filling tasks shall have. Serving images that they are known not to disturb
// count only once a tail has been over its target for long.
func (p *Pacer) Observe(now time.Time, tails []Tail, light func(oleandervalve.KindName) bool) int {
	worst, any := 0.0, 0.0
	for _, t := range tails {
		if t.Target <= 0 {
			continue
		}
		ratio := float64(t.Latency) / float64(t.Target)
		any = max(any, ratio)
		if !light(t.Image) {
			worst = max(worst, ratio)
		}
	}
	if any <= 1 {
		p.over = time.Time{}
	} else if p.over.IsZero() {
		p.over = now
	}
	if !p.over.IsZero() && now.Sub(p.over) >= p.limits.halt() && p.pace > 0 {
		p.pace, p.changed = 0, now
		return p.pace
	}
	if !p.over.IsZero() && now.Sub(p.over) >= p.limits.distrust() {
		worst = max(worst, any, severe)
	}
	if now.Sub(p.changed) < p.limits.settle() {
		return p.pace
	}
	next := p.pace
	switch {
	case worst > high:
		next = int(float64(p.pace) * backOff)
		if worst >= severe {
			next /= 2
		}
		if next < least {
			next = 0
		}
	case worst < low:
		next = min(Full, p.pace+recoverStep)
	}
	if next != p.pace {
		p.pace, p.changed = next, now
	}
	return p.pace
}
