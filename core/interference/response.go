package interference

import (
	"time"

	"oleandervalve"
)

// ResponseConfig sets when and how slow services are relieved.
type ResponseConfig struct {
	// High is the service slowdown above which something is done.
	High float64
	// Low is the service slowdown below which throttled tasks are restored;
	// the distance to High is the hysteresis.
	Low float64
	// Lag is how long an action takes to show in the samples.
	Lag time.Duration
	// Shares are the throttle steps in descending order, without 1.
	Shares []float64
	// Smoothing is the weight of the newest sample in the slowdown of a service.
	Smoothing float64
	// EvictionBudget is the number of evictions after which a task is only throttled.
	EvictionBudget int
}

// DefaultResponseConfig returns the settings that the measurements use.
func DefaultResponseConfig() ResponseConfig {
	return ResponseConfig{
		High: 1.22, Low: 1.12, Lag: 40 * time.Second,
		// A share below a quarter keeps memory occupied for hardly any progress.
		Shares:    []float64{0.5, 0.25},
		Smoothing: 0.4, EvictionBudget: 2,
	}
}

// Resident is what the response needs to know of a task on a worker.
type Resident struct {
	Task            oleandervalve.TaskID
	Kind            Kind
	LatencyCritical bool
	Share           float64
	// Unsaved is the work that an eviction would lose.
	Unsaved   time.Duration
	Evictions int
	// Leaving marks a task that is already being stopped.
	Leaving bool
}

// ActionKind says what to do with a task.
type ActionKind string

const (
	// Throttle sets the share of a task, which may also be raised.
	Throttle ActionKind = "throttle"
	// Evict stops a task so that it runs elsewhere.
	Evict ActionKind = "evict"
)

// Action is one decision about one task of a worker.
type Action struct {
	Kind  ActionKind
	Task  oleandervalve.TaskID
	Share float64
	// Slowdown is the service slowdown that led to the action.
	Slowdown float64
}

// Response is the state of the reaction on one worker.
type Response struct {
	services map[oleandervalve.TaskID]float64
	// actedAt is the time of the last action; samples of earlier times do not count.
	actedAt time.Time
	// calmSince is the time since when no service is above Low.
	calmSince time.Time
}

// Observe records the slowdown of one service task at the time that it describes.
func (r *Response) Observe(c ResponseConfig, t oleandervalve.TaskID, at time.Time, slowdown float64) {
	if at.Before(r.actedAt) {
		return
	}
	if r.services == nil {
		r.services = map[oleandervalve.TaskID]float64{}
	}
	old, ok := r.services[t]
	if !ok {
		old = 1
	}
	r.services[t] = old + c.Smoothing*(slowdown-old)
}

// Forget drops a service task that has left the worker.
func (r *Response) Forget(t oleandervalve.TaskID) { delete(r.services, t) }

// Acted starts the waiting time after an action taken for another reason.
func (r *Response) Acted(now time.Time) {
	r.actedAt = now
	r.calmSince = time.Time{}
	for t := range r.services {
		r.services[t] = 1
	}
}

// Slowdown returns the largest smoothed slowdown of the services on the worker.
func (r *Response) Slowdown() float64 {
	worst := 1.0
	for _, s := range r.services {
		worst = max(worst, s)
	}
	return worst
}

// Waiting reports whether the last action can't show in the samples yet.
func (r *Response) Waiting(c ResponseConfig, now time.Time) bool {
	return !r.actedAt.IsZero() && now.Sub(r.actedAt) < c.Lag
}

// Decide returns at most one action for the worker at the given time.
func (r *Response) Decide(c ResponseConfig, m *Model, residents []Resident, mix []Neighbour, l Level, now time.Time) (Action, bool) {
	if r.Waiting(c, now) {
		return Action{}, false
	}
	worst := r.Slowdown()
	if worst > c.Low {
		r.calmSince = time.Time{}
	} else if r.calmSince.IsZero() {
		r.calmSince = now
	}
	var a Action
	var ok bool
	switch {
	case worst > c.High:
		a, ok = relieve(c, m, residents, mix, l)
	case !r.calmSince.IsZero() && now.Sub(r.calmSince) >= c.Lag:
		a, ok = restore(c, m, residents, mix, l)
	}
	if ok {
		a.Slowdown = worst
		r.Acted(now)
	}
	return a, ok
}

// harm returns the slowdown that a task of the kind at full share adds to the services of the mix.
func harm(m *Model, k Kind, mix []Neighbour, l Level) float64 {
	var sum float64
	for _, n := range mix {
		if n.LatencyCritical {
			sum += float64(n.Tasks) * m.Effect(n.Kind, k, l)
		}
	}
	return sum
}

// relieve throttles the task that harms the services most; when all that
// matter are at the lowest share, it evicts the one with the least lost work.
func relieve(c ResponseConfig, m *Model, residents []Resident, mix []Neighbour, l Level) (Action, bool) {
	lowest := c.Shares[len(c.Shares)-1]
	var target *Resident
	var most, mostThrottled float64
	for i := range residents {
		t := &residents[i]
		if t.LatencyCritical || t.Leaving {
			continue
		}
		h := harm(m, t.Kind, mix, l) * t.Share
		if t.Share <= lowest {
			mostThrottled = max(mostThrottled, h)
			continue
		}
		if h > most {
			most, target = h, t
		}
	}
	if target != nil && most >= mostThrottled {
		return Action{Kind: Throttle, Task: target.Task, Share: lower(c, target.Share)}, true
	}
	var victim *Resident
	for i := range residents {
		t := &residents[i]
		if t.LatencyCritical || t.Leaving || t.Share > lowest || t.Evictions >= c.EvictionBudget {
			continue
		}
		// A task that hardly disturbs is not evicted only because it has little to lose.
		if harm(m, t.Kind, mix, l)*t.Share < mostThrottled/2 {
			continue
		}
		if victim == nil || t.Unsaved < victim.Unsaved || t.Unsaved == victim.Unsaved && t.Task < victim.Task {
			victim = t
		}
	}
	if victim != nil {
		return Action{Kind: Evict, Task: victim.Task}, true
	}
	if target != nil {
		return Action{Kind: Throttle, Task: target.Task, Share: lower(c, target.Share)}, true
	}
	return Action{}, false
}

// restore raises the share of the least harmful throttled task, if the model
// expects every service to stay below the middle of the hysteresis.
func restore(c ResponseConfig, m *Model, residents []Resident, mix []Neighbour, l Level) (Action, bool) {
	var best *Resident
	var least float64
	for i := range residents {
		t := &residents[i]
		if t.LatencyCritical || t.Leaving || t.Share >= 1 {
			continue
		}
		if h := harm(m, t.Kind, mix, l); best == nil || h < least {
			best, least = t, h
		}
	}
	if best == nil {
		return Action{}, false
	}
	up := higher(c, best.Share)
	for _, n := range mix {
		if !n.LatencyCritical {
			continue
		}
		expected := m.Expected(n.Kind, mix, l) + (up-best.Share)*m.Effect(n.Kind, best.Kind, l)
		if 1+expected > (c.High+c.Low)/2 {
			return Action{}, false
		}
	}
	return Action{Kind: Throttle, Task: best.Task, Share: up}, true
}

func lower(c ResponseConfig, share float64) float64 {
	for _, s := range c.Shares {
		if s < share {
			return s
		}
	}
	return c.Shares[len(c.Shares)-1]
}

func higher(c ResponseConfig, share float64) float64 {
	for i := len(c.Shares) - 1; i >= 0; i-- {
		if c.Shares[i] > share {
			return c.Shares[i]
		}
	}
	return 1
}
