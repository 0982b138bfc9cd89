package instance_test

import (
	"fmt"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/caller"

	"github.com/matryer/is"
)

// floodClasses offers nine tenths of each class's floor; the flooding class
// offers ten times the capacity of the fleet instead.
func floodClasses(flood oleandervalve.ClassName) []simClass {
	capacity := simCapacity / simMean.Seconds()
	out := []simClass{
		{policy: caller.ClassPolicy{Class: "urgent", Weight: 8, Floor: 0.2}, timeout: 500 * time.Millisecond},
		{policy: caller.ClassPolicy{Class: "interactive", Weight: 4, Floor: 0.3}, timeout: time.Second},
		{policy: caller.ClassPolicy{Class: "standard", Weight: 2, Floor: 0.25}, timeout: 2 * time.Second},
		{policy: caller.ClassPolicy{Class: "bulk", Weight: 1, Floor: 0.15}, timeout: 4 * time.Second},
	}
	for i := range out {
		out[i].rate = 0.9 * out[i].policy.Floor * capacity
		if out[i].policy.Class == flood {
			out[i].rate = 10 * capacity
		}
	}
	return out
}

func simulate(seed uint64, r routing, classes []simClass) *sim {
	s := newSim(seed, r, classes)
	s.run()
	return s
}

// Guards against a flood of one class that takes throughput or latency from
// classes within their floor, leaves capacity unused, or leaves requests
// unanswered past their deadline.
func TestFlood(t *testing.T) {
	if testing.Short() {
		t.Skip("single-threaded figures run without the race detector")
	}
	for seed := uint64(1); seed <= 5; seed++ {
		calm := simulate(seed, withCredits, floodClasses(""))
		calmBase := simulate(seed, fifoLeast, floodClasses(""))
		for _, flood := range []oleandervalve.ClassName{"bulk", "urgent"} {
			t.Run(fmt.Sprint(flood, "/", seed), func(t *testing.T) {
				is := is.New(t)
				flooded := simulate(seed, withCredits, floodClasses(flood))
				base := simulate(seed, fifoLeast, floodClasses(flood))
				for i, c := range flooded.classes {
					kept := float64(flooded.results[i].answered) / float64(calm.results[i].answered)
					p99, before := quantile(flooded, i, 99), quantile(calm, i, 99)
					t.Logf("%-11s kept %.3f p99 %v, calm %v; baseline kept %.3f p99 %v, calm %v", c.policy.Class, kept, p99, before,
						float64(base.results[i].answered)/float64(calmBase.results[i].answered), quantile(base, i, 99), quantile(calmBase, i, 99))
					is.Equal(flooded.results[i].late, 0) // a request waited past its deadline unanswered
					is.Equal(calm.results[i].late, 0)    // the same without the flood
					if c.policy.Class == flood {
						continue
					}
					is.True(kept >= 0.95)   // throughput kept during the flood
					is.True(p99 < 2*before) // p99 during the flood
				}
				t.Logf("in use %.3f, refused at the endpoint %d; baseline in use %.3f", flooded.utilisation(), flooded.refused, base.utilisation())
				is.True(flooded.utilisation() > 0.9) // capacity in use
			})
		}
	}
}

func quantile(s *sim, class int, q float64) time.Duration {
	return time.Duration(s.results[class].latency.ValueAtQuantile(q)) * time.Microsecond
}

// Guards against credits beyond the ledger: at the same load as the other
// choices, no request is refused at its endpoint and none is lost.
func TestRoutingComparison(t *testing.T) {
	if testing.Short() {
		t.Skip("single-threaded figures run without the race detector")
	}
	is := is.New(t)
	for _, load := range []float64{0.85, 0.95} {
		for seed := uint64(1); seed <= 5; seed++ {
			classes := []simClass{{
				policy: caller.ClassPolicy{Class: "standard"}, timeout: 2 * time.Second,
				rate: load * simCapacity / simMean.Seconds(),
			}}
			for _, r := range []routing{withCredits, pickTwo, pickLeast, fifoLeast} {
				s := simulate(seed, r, classes)
				t.Logf("load %.2f seed %d %-45s p50 %v p99 %v p99.9 %v answered %d of %d refused at the endpoint %d", load, seed, r,
					quantile(s, 0, 50), quantile(s, 0, 99), quantile(s, 0, 99.9), s.results[0].answered, s.results[0].offered, s.refused)
				if r == withCredits {
					is.Equal(s.refused, 0)                                // the ledger granted more than it had
					is.Equal(s.results[0].answered, s.results[0].offered) // not all requests were answered in time
				}
			}
		}
	}
}
