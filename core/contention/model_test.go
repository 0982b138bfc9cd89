package contention

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// truth is the disturbance that the samples of a test follow.
var truth = map[Pair]float64{
	{"press", "board"}: 2.8, {"sort", "board"}: 0, {"press", "watch"}: 0, {"sort", "watch"}: 2.4,
}

// sampled plays seconds of samples of six executors. Each holds one task of
// each serving job, whose load swings, beside changing filling tasks.
func sampled(m *Model, seed uint64, seconds int) time.Time {
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	now := start
	for step := range seconds * 2 {
		now = start.Add(time.Duration(step) * 500 * time.Millisecond)
		load := 0.48 + 0.2*math.Sin(float64(step)/6)
		for a := range 6 {
			used := map[oleandervalve.KindName]float64{"press": float64((step/8+a)%3) * 4000, "sort": float64((step/6+2*a)%3) * 4000}
			s := Sample{Filling: []Filling{
				{Image: "press", Used: oleandervalve.Millicores(used["press"])},
				{Image: "sort", Used: oleandervalve.Millicores(used["sort"])},
			}}
			for _, image := range []oleandervalve.KindName{"board", "watch"} {
				u := load + 0.02*r.NormFloat64()
				for f, x := range used {
					u += truth[Pair{f, image}] * x / 64000
				}
				tail := 25 / (1 - min(u, 0.985))
				s.Serving = append(s.Serving, Serving{Job: oleandervalve.JobID("job-" + image), Image: image, Tail: int64(tail), Target: 150})
			}
			m.Observe(now, oleandervalve.AgentID(rune('a'+a)), 64000, s)
		}
	}
	return now
}

// Guards against pairs that are learned the wrong way round while the load of
// the serving tasks swings as much as the disturbance.
func TestModelTellsDisturbingPairs(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		m := New()
		sampled(m, seed, 8)
		for p, w := range truth {
			is.Equal(m.Disturbs(p), w > 0) // learned after eight seconds
		}
		is.Equal(m.Light(), []Pair{{"press", "watch"}, {"sort", "board"}})
	}
}

// Guards against a load estimate that counts the disturbance as the job's own load.
func TestModelSeparatesLoadFromDisturbance(t *testing.T) {
	is := is.New(t)
	m := New()
	now := sampled(m, 1, 12)
	want := 0.48 + 0.2*math.Sin(float64(12*2-1)/6)
	is.True(math.Abs(m.Load(now, "job-board", "board")-want) < 0.08)
	is.Equal(m.Load(now.Add(time.Minute), "job-board", "board"), unknownLoad) // old samples tell nothing
}

// Guards against a pair without samples that counts as known, and against
// samples without targets or latencies that change a weight.
func TestModelWithoutSamples(t *testing.T) {
	is := is.New(t)
	m := New()
	p := Pair{"press", "board"}
	m.Observe(time.Unix(1, 0), "a", 0, Sample{Serving: []Serving{{Job: "j", Image: "board"}}, Filling: []Filling{{Image: "press", Used: 100}}})
	is.Equal(m.Weight(p), priorWeight)
	is.True(!m.Disturbs(p))
	is.Equal(len(m.Light()), 0)
}

// Guards against a serving job that is pressed over its target again and again
// because all its tasks are on one executor, so that no other tells the
// difference that a filling task makes.
func TestModelLearnsFromOneExecutor(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		m := New()
		r := rand.New(rand.NewPCG(seed, 2))
		for step := range 60 {
			now := time.Unix(1000, 0).Add(time.Duration(step) * 700 * time.Millisecond)
			load := 0.4 + 0.1*math.Sin(float64(step)/5)
			press, sort := float64(step/3%2)*14000, float64(step/5%2)*14000
			u := load + 0.02*r.NormFloat64() + 2.5*press/64000
			m.Observe(now, "a", 64000, Sample{
				Serving: []Serving{{Job: "alone", Image: "board", Tail: int64(25 / (1 - min(u, 0.985))), Target: 150}},
				Filling: []Filling{{Image: "press", Used: oleandervalve.Millicores(press)}, {Image: "sort", Used: oleandervalve.Millicores(sort)}},
			})
		}
		is.True(m.Disturbs(Pair{"press", "board"}))
		is.True(m.Harmless(Pair{"sort", "board"}))
	}
}
