package size

import (
	"testing"

	"github.com/matryer/is"

	"oleandervalve"
)

const mib = oleandervalve.Bytes(1) << 20

// Guards against trusting declared sizes that are off by a factor of ten.
func TestEstimateReplacesDeclaredSize(t *testing.T) {
	for _, c := range []struct {
		name   string
		factor float64
	}{{"declared ten times too large", 10}, {"declared ten times too small", 0.1}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New(DefaultConfig())
			used := oleandervalve.Resources{CPU: 1000, Memory: 1000 * mib}
			declared := oleandervalve.Resources{
				CPU: oleandervalve.Millicores(1000 * c.factor), Memory: oleandervalve.Bytes(float64(used.Memory) * c.factor), Accelerators: 1,
			}
			is.Equal(m.Estimate("k", declared), declared)
			for range 200 {
				m.Observe("k", used, Conditions{})
			}
			got := m.Estimate("k", declared)
			is.True(got.CPU >= used.CPU && got.CPU <= used.CPU*12/10)
			is.True(got.Memory >= used.Memory && got.Memory <= used.Memory*13/10)
			is.Equal(got.Accelerators, declared.Accelerators)
		})
	}
}

// Guards against throttling that shrinks the learned size and so admits more tasks.
func TestThrottledUseDoesNotShrinkTheEstimate(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	declared := oleandervalve.Resources{CPU: 1000, Memory: 100 * mib}
	for range 50 {
		m.Observe("k", declared, Conditions{})
	}
	before := m.Estimate("k", declared)
	for range 500 {
		m.Observe("k", oleandervalve.Resources{CPU: 250, Memory: 100 * mib}, Conditions{Throttled: true})
		m.Observe("k", oleandervalve.Resources{CPU: 250, Memory: 100 * mib}, Conditions{Saturated: true})
	}
	is.Equal(m.Estimate("k", declared).CPU, before.CPU)
}

// Guards against an estimate that still reflects old usage after the usage of a kind has changed.
func TestEstimateFollowsAChange(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	declared := oleandervalve.Resources{CPU: 1000, Memory: 100 * mib}
	for range 4000 {
		m.Observe("k", oleandervalve.Resources{CPU: 4000, Memory: 800 * mib}, Conditions{})
	}
	for range 40000 {
		m.Observe("k", oleandervalve.Resources{CPU: 500, Memory: 50 * mib}, Conditions{})
	}
	is.True(m.Estimate("k", declared).Memory < 100*mib)
	is.True(m.Estimate("k", declared).CPU < 1000)
}
