package instance_test

import (
	"fmt"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/caller"

	"github.com/matryer/is"
)

// overloadClasses returns classes that offer nine tenths of their floor each.
// The overloaded class, if any, offers ten times the capacity of all endpoints
// instead.
func overloadClasses(overloaded oleandervalve.ClassName) []simClass {
	capacity := simCapacity / simMeanServiceTime.Seconds()
	out := []simClass{
		{policy: caller.ClassPolicy{Class: "urgent", Weight: 8, Floor: 0.2}, timeout: 500 * time.Millisecond},
		{policy: caller.ClassPolicy{Class: "interactive", Weight: 4, Floor: 0.3}, timeout: time.Second},
		{policy: caller.ClassPolicy{Class: "standard", Weight: 2, Floor: 0.25}, timeout: 2 * time.Second},
		{policy: caller.ClassPolicy{Class: "bulk", Weight: 1, Floor: 0.15}, timeout: 4 * time.Second},
	}
	for i := range out {
		out[i].rate = 0.9 * out[i].policy.Floor * capacity
		if out[i].policy.Class == overloaded {
			out[i].rate = 10 * capacity
		}
	}
	return out
}

func runSimulation(seed uint64, r routing, classes []simClass) *sim {
	s := newSim(seed, r, classes)
	s.run()
	return s
}

// Guards against an overloaded class that reduces the throughput or raises the
// latency of classes within their floor, leaves capacity unused, or leaves
// requests unanswered past their deadline.
func TestOverload(t *testing.T) {
	if testing.Short() {
		t.Skip("single-threaded figures run without the race detector")
	}
	for seed := uint64(1); seed <= 5; seed++ {
		normal := runSimulation(seed, withCredits, overloadClasses(""))
		normalBaseline := runSimulation(seed, fifoLeastConnections, overloadClasses(""))
		for _, overloaded := range []oleandervalve.ClassName{"bulk", "urgent"} {
			t.Run(fmt.Sprint(overloaded, "/", seed), func(t *testing.T) {
				is := is.New(t)
				overload := runSimulation(seed, withCredits, overloadClasses(overloaded))
				baseline := runSimulation(seed, fifoLeastConnections, overloadClasses(overloaded))
				for i, c := range overload.classes {
					throughputRatio := float64(overload.results[i].answered) / float64(normal.results[i].answered)
					p99, normalP99 := quantile(overload, i, 99), quantile(normal, i, 99)
					t.Logf("%-11s throughput ratio %.3f p99 %v, normal %v; baseline throughput ratio %.3f p99 %v, normal %v", c.policy.Class, throughputRatio, p99, normalP99,
						float64(baseline.results[i].answered)/float64(normalBaseline.results[i].answered), quantile(baseline, i, 99), quantile(normalBaseline, i, 99))
					is.Equal(overload.results[i].late, 0) // a request waited past its deadline unanswered
					is.Equal(normal.results[i].late, 0)   // a request waited past its deadline without an overload
					if c.policy.Class == overloaded {
						continue
					}
					is.True(throughputRatio >= 0.95) // throughput during the overload
					is.True(p99 < 2*normalP99)       // p99 during the overload
				}
				t.Logf("utilisation %.3f, refused at the endpoint %d; baseline utilisation %.3f", overload.utilisation(), overload.refused, baseline.utilisation())
				is.True(overload.utilisation() > 0.9) // utilisation during the overload
			})
		}
	}
}

func quantile(s *sim, class int, q float64) time.Duration {
	return time.Duration(s.results[class].latency.ValueAtQuantile(q)) * time.Microsecond
}

// Guards against a ledger that grants more credits than it has slots: with
// credits, no request is refused at its endpoint and all are answered in time.
// The other routing policies run at the same load for comparison.
func TestRoutingComparison(t *testing.T) {
	if testing.Short() {
		t.Skip("single-threaded figures run without the race detector")
	}
	is := is.New(t)
	for _, load := range []float64{0.85, 0.95} {
		for seed := uint64(1); seed <= 5; seed++ {
			classes := []simClass{{
				policy: caller.ClassPolicy{Class: "standard"}, timeout: 2 * time.Second,
				rate: load * simCapacity / simMeanServiceTime.Seconds(),
			}}
			for _, r := range []routing{withCredits, powerOfTwoChoices, leastConnections, fifoLeastConnections} {
				s := runSimulation(seed, r, classes)
				t.Logf("load %.2f seed %d %-45s p50 %v p99 %v p99.9 %v answered %d of %d refused at the endpoint %d", load, seed, r,
					quantile(s, 0, 50), quantile(s, 0, 99), quantile(s, 0, 99.9), s.results[0].answered, s.results[0].offered, s.refused)
				if r == withCredits {
					is.Equal(s.refused, 0)                                // the ledger granted more credits than slots
					is.Equal(s.results[0].answered, s.results[0].offered) // not all requests were answered in time
				}
			}
		}
	}
}
