package contention

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// trueCoefficients are the interference coefficients from which the tests simulate samples.
var trueCoefficients = map[Pair]float64{
	{"press", "board"}: 2.8, {"sort", "board"}: 0, {"press", "watch"}: 0, {"sort", "watch"}: 2.4,
}

// observeSimulatedSamples feeds the model the samples of six executors over some
// seconds. Each executor runs one task of each latency-critical job, whose load
// oscillates, co-located with changing best-effort tasks. It returns the time of
// the last sample.
func observeSimulatedSamples(m *Model, seed uint64, seconds int) time.Time {
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	now := start
	for step := range seconds * 2 {
		now = start.Add(time.Duration(step) * 500 * time.Millisecond)
		load := 0.48 + 0.2*math.Sin(float64(step)/6)
		for a := range 6 {
			used := map[oleandervalve.KindName]float64{"press": float64((step/8+a)%3) * 4000, "sort": float64((step/6+2*a)%3) * 4000}
			s := Sample{BestEffort: []BestEffortUsage{
				{Image: "press", Used: oleandervalve.Millicores(used["press"])},
				{Image: "sort", Used: oleandervalve.Millicores(used["sort"])},
			}}
			for _, image := range []oleandervalve.KindName{"board", "watch"} {
				u := load + 0.02*r.NormFloat64()
				for beImage, x := range used {
					u += trueCoefficients[Pair{beImage, image}] * x / 64000
				}
				tail := 25 / (1 - min(u, 0.985))
				s.LatencyCritical = append(s.LatencyCritical, LatencySample{Job: oleandervalve.JobID("job-" + image), Image: image, TailLatency: int64(tail), Target: 150})
			}
			m.Observe(now, oleandervalve.AgentID(rune('a'+a)), 64000, s)
		}
	}
	return now
}

// Guards against interfering and non-interfering pairs being confused when the
// load of the latency-critical tasks varies as much as the interference.
func TestModelDetectsInterferingPairs(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		m := New()
		observeSimulatedSamples(m, seed, 8)
		for p, w := range trueCoefficients {
			is.Equal(m.Interferes(p), w > 0) // eight seconds of samples suffice
		}
		is.Equal(m.NonInterfering(), []Pair{{"press", "watch"}, {"sort", "board"}})
	}
}

// Guards against a load estimate that counts interference as the job's own load.
func TestModelSeparatesLoadFromInterference(t *testing.T) {
	is := is.New(t)
	m := New()
	now := observeSimulatedSamples(m, 1, 12)
	want := 0.48 + 0.2*math.Sin(float64(12*2-1)/6)
	is.True(math.Abs(m.Load(now, "job-board", "board")-want) < 0.08)
	is.Equal(m.Load(now.Add(time.Minute), "job-board", "board"), defaultLoad) // outdated samples are ignored
}

// Guards against relying on the coefficient of a pair without samples, and
// against samples without target or latency changing a coefficient.
func TestModelWithoutSamples(t *testing.T) {
	is := is.New(t)
	m := New()
	p := Pair{"press", "board"}
	m.Observe(time.Unix(1, 0), "a", 0, Sample{LatencyCritical: []LatencySample{{Job: "j", Image: "board"}}, BestEffort: []BestEffortUsage{{Image: "press", Used: 100}}})
	is.Equal(m.Coefficient(p), priorCoefficient)
	is.True(!m.Interferes(p))
	is.Equal(len(m.NonInterfering()), 0)
}

// Guards against learning nothing when all tasks of a latency-critical job are on
// one executor: without a task on another executor to compare with, best-effort
// tasks would repeatedly drive such a job over its latency target.
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
				LatencyCritical: []LatencySample{{Job: "alone", Image: "board", TailLatency: int64(25 / (1 - min(u, 0.985))), Target: 150}},
				BestEffort:      []BestEffortUsage{{Image: "press", Used: oleandervalve.Millicores(press)}, {Image: "sort", Used: oleandervalve.Millicores(sort)}},
			})
		}
		is.True(m.Interferes(Pair{"press", "board"}))
		is.True(m.IsNegligible(Pair{"sort", "board"}))
	}
}
