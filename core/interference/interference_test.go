package interference

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against attributing the slowdown to quiet neighbours that are often
// co-located with a noisy one, and against mixing up load levels.
func TestModelFindsTheNoisyNeighbour(t *testing.T) {
	is := is.New(t)
	m := NewModel(DefaultConfig())
	svc, noisy, quiet := m.Kind("svc"), m.Kind("noisy"), m.Kind("quiet")
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		n, q := r.IntN(3), r.IntN(4)
		mix := []KindGroup{
			{Kind: svc, EffectiveCount: 1, Tasks: 1, LatencyCritical: true},
			{Kind: noisy, EffectiveCount: float32(n), Tasks: int32(n)},
			{Kind: quiet, EffectiveCount: float32(q), Tasks: int32(q)},
		}
		m.Observe(svc, mix, 2, 1+0.12*float64(n)+0.05*r.NormFloat64())
		m.Observe(svc, mix, 0, 1+0.01*float64(n)+0.05*r.NormFloat64())
	}
	is.True(m.Effect(svc, noisy, 2) > 0.09 && m.Effect(svc, noisy, 2) < 0.15)
	is.True(m.Effect(svc, quiet, 2) < 0.03)
	is.True(m.Effect(svc, noisy, 0) < 0.04)
}

// Guards against treating a pair without samples as not interfering at all or as
// interfering heavily.
func TestPairsWithoutSamplesAreShrunkToThePrior(t *testing.T) {
	is := is.New(t)
	c := DefaultConfig()
	m := NewModel(c)
	a, b, x := m.Kind("a"), m.Kind("b"), m.Kind("x")
	is.Equal(m.Effect(a, x, 1), c.Prior[1])
	mix := []KindGroup{{Kind: a, EffectiveCount: 1, Tasks: 1, LatencyCritical: true}, {Kind: x, EffectiveCount: 1, Tasks: 1}}
	m.Observe(a, mix, 1, 1.5)
	one := m.Effect(a, x, 1)
	is.True(one > c.Prior[1] && one < 0.25) // a single sample has limited influence
	for range 500 {
		m.Observe(a, mix, 1, 1.5)
	}
	is.True(m.Effect(a, x, 1) > 0.4)
	is.True(m.Effect(b, x, 1) > c.Prior[1] && m.Effect(b, x, 1) < m.Effect(a, x, 1)) // prior from the effect on a
}

// Guards against a wrong order of actions, a second action within the
// cooldown, oscillation around a single threshold, and endless evictions of one task.
func TestResponse(t *testing.T) {
	is := is.New(t)
	c := DefaultResponseConfig()
	m := NewModel(DefaultConfig())
	svc, noisy, quiet := m.Kind("svc"), m.Kind("noisy"), m.Kind("quiet")
	mix := []KindGroup{
		{Kind: svc, EffectiveCount: 1, Tasks: 1, LatencyCritical: true},
		{Kind: noisy, EffectiveCount: 2, Tasks: 2},
		{Kind: quiet, EffectiveCount: 1, Tasks: 1},
	}
	for range 300 {
		m.Observe(svc, mix, 1, 1.6)
		m.Observe(svc, mix[:1], 1, 1)
		m.Observe(svc, []KindGroup{mix[0], mix[2]}, 1, 1)
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tasks := []Resident{
		{Task: "svc", Kind: svc, LatencyCritical: true, Share: 1},
		{Task: "long", Kind: noisy, Share: 1, WorkSinceCheckpoint: time.Hour},
		{Task: "short", Kind: noisy, Share: 1, WorkSinceCheckpoint: time.Minute},
		{Task: "quiet", Kind: quiet, Share: 1},
	}
	var r Response
	step := func(slow float64) (Action, bool) {
		for range 8 {
			r.Observe(c, "svc", now, slow)
		}
		a, ok := r.Decide(c, m, tasks, mix, 1, now)
		for i := range tasks {
			if ok && tasks[i].Task == a.Task && a.Kind == Throttle {
				mix[tasks[i].Kind].EffectiveCount += float32(a.Share - tasks[i].Share)
				tasks[i].Share = a.Share
			}
		}
		return a, ok
	}
	_, ok := step(1.15)
	is.True(!ok) // no action between Low and High
	var got []ActionKind
	var last Action
	for range 5 {
		a, ok := step(1.6)
		is.True(ok)
		got, last = append(got, a.Kind), a
		now = now.Add(c.Cooldown - time.Second)
		_, ok = step(1.6)
		is.True(!ok) // no action within the cooldown
		now = now.Add(time.Second)
	}
	is.Equal(got, []ActionKind{Throttle, Throttle, Throttle, Throttle, Evict})
	is.Equal(last.Task, oleandervalve.TaskID("short")) // loses the least work; the quiet task is spared
	r.StartCooldown(now)
	for range 8 {
		r.Observe(c, "svc", now.Add(-time.Second), 3)
	}
	now = now.Add(c.Cooldown)
	_, ok = r.Decide(c, m, tasks, mix, 1, now)
	is.True(!ok) // samples from before the action are ignored
	tasks[2].Evictions = c.EvictionBudget
	a, ok := step(1.6)
	is.True(ok)
	is.Equal(a.Task, oleandervalve.TaskID("long")) // the eviction budget of the other is used up
	tasks[1].Evictions = c.EvictionBudget
	now = now.Add(c.Cooldown)
	a, ok = step(1.6)
	is.True(ok)
	is.Equal(a.Kind, Throttle) // no task may be evicted any more
	now = now.Add(c.Cooldown)
	_, _ = step(1.0)
	now = now.Add(c.Cooldown)
	a, ok = step(1.0)
	is.True(ok) // below Low for the cooldown: the least interfering task gets its share back
	is.Equal(a.Task, oleandervalve.TaskID("quiet"))
	is.Equal(a.Share, 1.0)
}
