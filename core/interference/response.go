package interference

import (
	"time"

	"oleandervalve"
)

// ResponseConfig configures when and how interference with latency-critical
// tasks is mitigated.
type ResponseConfig struct {
	// High is the slowdown of a latency-critical task above which batch tasks are
	// throttled or evicted.
	High float64
	// Low is the slowdown of latency-critical tasks below which throttled tasks get
	// their share back; the distance to High is the hysteresis.
	Low float64
	// Cooldown is the minimum time between two actions on a worker, until the effect
	// of an action is visible in the samples.
	Cooldown time.Duration
	// ThrottleSteps are the processor shares of throttled tasks, in descending
	// order and without 1.
	ThrottleSteps []float64
	// Smoothing is the weight of the newest sample in the smoothed slowdown of a
	// latency-critical task.
	Smoothing float64
	// EvictionBudget is the number of evictions after which a task is throttled but
	// no longer evicted.
	EvictionBudget int
}

// DefaultResponseConfig returns the default configuration.
func DefaultResponseConfig() ResponseConfig {
	return ResponseConfig{
		High: 1.22, Low: 1.12, Cooldown: 40 * time.Second,
		// With a share below a quarter, a task occupies its memory but makes hardly
		// any progress.
		ThrottleSteps: []float64{0.5, 0.25},
		Smoothing:     0.4, EvictionBudget: 2,
	}
}

// Resident describes a task on a worker for the choice of an action.
type Resident struct {
	Task            oleandervalve.TaskID
	Kind            Kind
	LatencyCritical bool
	Share           float64
	// WorkSinceCheckpoint is the work that an eviction would lose.
	WorkSinceCheckpoint time.Duration
	Evictions           int
	// Exempt means that no action may be taken on the task, for example because it
	// is being stopped.
	Exempt bool
}

// ActionKind is the kind of an action on a task.
type ActionKind string

const (
	// Throttle sets the processor share of a task; it lowers or raises the share.
	Throttle ActionKind = "throttle"
	// Evict stops a task so that it can run on another worker.
	Evict ActionKind = "evict"
)

// Action is an action on one task of a worker.
type Action struct {
	Kind  ActionKind
	Task  oleandervalve.TaskID
	Share float64
	// Slowdown is the largest slowdown of a latency-critical task at the time of
	// the decision.
	Slowdown float64
}

// Response tracks the slowdown of the latency-critical tasks on one worker and
// the actions taken to reduce it.
type Response struct {
	slowdowns map[oleandervalve.TaskID]float64
	// lastActionAt is the time of the last action; earlier samples are ignored.
	lastActionAt time.Time
	// belowLowSince is the time since when no slowdown is above Low; zero if one is.
	belowLowSince time.Time
}

// Observe records a slowdown sample of a latency-critical task; at is the time
// of the sample.
func (r *Response) Observe(c ResponseConfig, t oleandervalve.TaskID, at time.Time, slowdown float64) {
	if at.Before(r.lastActionAt) {
		return
	}
	if r.slowdowns == nil {
		r.slowdowns = map[oleandervalve.TaskID]float64{}
	}
	old, ok := r.slowdowns[t]
	if !ok {
		old = 1
	}
	r.slowdowns[t] = old + c.Smoothing*(slowdown-old)
}

// RemoveTask removes a latency-critical task that no longer runs on the worker.
func (r *Response) RemoveTask(t oleandervalve.TaskID) { delete(r.slowdowns, t) }

// StartCooldown starts the cooldown after an action, including actions that
// Decide did not choose. The recorded slowdowns are reset, since they precede the action.
func (r *Response) StartCooldown(now time.Time) {
	r.lastActionAt = now
	r.belowLowSince = time.Time{}
	for t := range r.slowdowns {
		r.slowdowns[t] = 1
	}
}

// Slowdown returns the largest smoothed slowdown of the latency-critical tasks on the worker.
func (r *Response) Slowdown() float64 {
	worst := 1.0
	for _, s := range r.slowdowns {
		worst = max(worst, s)
	}
	return worst
}

// InCooldown reports whether the cooldown after the last action has not ended. Until
// then, the samples don't show the effect of the action.
func (r *Response) InCooldown(c ResponseConfig, now time.Time) bool {
	return !r.lastActionAt.IsZero() && now.Sub(r.lastActionAt) < c.Cooldown
}

// Decide returns the action to take on the worker at the given time; false if there
// is none. The residents and the mix describe the tasks of the worker, l is its
// load level.
func (r *Response) Decide(c ResponseConfig, m *Model, residents []Resident, mix []KindGroup, l Level, now time.Time) (Action, bool) {
	if r.InCooldown(c, now) {
		return Action{}, false
	}
	worst := r.Slowdown()
	if worst > c.Low {
		r.belowLowSince = time.Time{}
	} else if r.belowLowSince.IsZero() {
		r.belowLowSince = now
	}
	var a Action
	var ok bool
	switch {
	case worst > c.High:
		a, ok = mitigate(c, m, residents, mix, l)
	case !r.belowLowSince.IsZero() && now.Sub(r.belowLowSince) >= c.Cooldown:
		a, ok = unthrottle(c, m, residents, mix, l)
	}
	if ok {
		a.Slowdown = worst
		r.StartCooldown(now)
	}
	return a, ok
}

// addedSlowdown returns the sum of the slowdowns that an unthrottled task of the
// kind adds to the latency-critical tasks of the mix.
func addedSlowdown(m *Model, k Kind, mix []KindGroup, l Level) float64 {
	var sum float64
	for _, n := range mix {
		if n.LatencyCritical {
			sum += float64(n.Tasks) * m.Effect(n.Kind, k, l)
		}
	}
	return sum
}

// mitigate throttles the task that interferes most with the latency-critical
// tasks. When the most interfering tasks are already at the lowest share, it
// evicts the one that loses the least work.
func mitigate(c ResponseConfig, m *Model, residents []Resident, mix []KindGroup, l Level) (Action, bool) {
	lowestShare := c.ThrottleSteps[len(c.ThrottleSteps)-1]
	var target *Resident
	var maxAdded, maxAddedThrottled float64
	for i := range residents {
		t := &residents[i]
		if t.LatencyCritical || t.Exempt {
			continue
		}
		added := addedSlowdown(m, t.Kind, mix, l) * t.Share
		if t.Share <= lowestShare {
			maxAddedThrottled = max(maxAddedThrottled, added)
			continue
		}
		if added > maxAdded {
			maxAdded, target = added, t
		}
	}
	if target != nil && maxAdded >= maxAddedThrottled {
		return Action{Kind: Throttle, Task: target.Task, Share: nextLowerShare(c, target.Share)}, true
	}
	var victim *Resident
	for i := range residents {
		t := &residents[i]
		if t.LatencyCritical || t.Exempt || t.Share > lowestShare || t.Evictions >= c.EvictionBudget {
			continue
		}
		// A task with little interference is not evicted merely because it would lose
		// little work.
		if addedSlowdown(m, t.Kind, mix, l)*t.Share < maxAddedThrottled/2 {
			continue
		}
		if victim == nil || t.WorkSinceCheckpoint < victim.WorkSinceCheckpoint || t.WorkSinceCheckpoint == victim.WorkSinceCheckpoint && t.Task < victim.Task {
			victim = t
		}
	}
	if victim != nil {
		return Action{Kind: Evict, Task: victim.Task}, true
	}
	if target != nil {
		return Action{Kind: Throttle, Task: target.Task, Share: nextLowerShare(c, target.Share)}, true
	}
	return Action{}, false
}

// unthrottle raises the share of the least interfering throttled task, if the
// model expects the slowdown of every latency-critical task to stay below the
// middle between Low and High.
func unthrottle(c ResponseConfig, m *Model, residents []Resident, mix []KindGroup, l Level) (Action, bool) {
	var best *Resident
	var leastAdded float64
	for i := range residents {
		t := &residents[i]
		if t.LatencyCritical || t.Exempt || t.Share >= 1 {
			continue
		}
		if added := addedSlowdown(m, t.Kind, mix, l); best == nil || added < leastAdded {
			best, leastAdded = t, added
		}
	}
	if best == nil {
		return Action{}, false
	}
	raisedShare := nextHigherShare(c, best.Share)
	for _, n := range mix {
		if !n.LatencyCritical {
			continue
		}
		expected := m.Expected(n.Kind, mix, l) + (raisedShare-best.Share)*m.Effect(n.Kind, best.Kind, l)
		if 1+expected > (c.High+c.Low)/2 {
			return Action{}, false
		}
	}
	return Action{Kind: Throttle, Task: best.Task, Share: raisedShare}, true
}

// nextLowerShare returns the throttle step below a share, or the lowest step.
func nextLowerShare(c ResponseConfig, share float64) float64 {
	for _, s := range c.ThrottleSteps {
		if s < share {
			return s
		}
	}
	return c.ThrottleSteps[len(c.ThrottleSteps)-1]
}

// nextHigherShare returns the throttle step above a share, or 1 if there is none.
func nextHigherShare(c ResponseConfig, share float64) float64 {
	for i := len(c.ThrottleSteps) - 1; i >= 0; i-- {
		if c.ThrottleSteps[i] > share {
			return c.ThrottleSteps[i]
		}
	}
	return 1
}
