package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var seeds = []uint64{1, 2, 3, 4, 5}

// colocationConfig places tasks with learned sizes but ignores interference, and
// neither throttles nor evicts for latency-critical tasks.
func colocationConfig() Config {
	c := DefaultConfig()
	c.Mitigation = NoMitigation
	c.Fleet.MaxLatencyCriticalSlowdown = 1e9
	c.Fleet.Weights.LatencyCriticalSlowdown, c.Fleet.Weights.BatchSlowdown = 0, 0
	return c
}

func (m *sim) finishedPerHour() float64 { return float64(m.finished) / measuredPeriod.Hours() }

func (m *sim) String() string {
	return fmt.Sprintf("p99=%.2fms batch/h=%.0f work/h=%.0f evictions=%d%v throttles=%d oom=%d wasted=%s",
		float64(m.latency.ValueAtQuantile(99))/1000, m.finishedPerHour(), m.finishedWork.Hours()/measuredPeriod.Hours(),
		m.evictions, m.reasons, m.throttles, m.oomKills, m.wastedWork.Round(time.Second))
}

// Guards against a policy that protects latency-critical tasks by starving batch
// tasks, or that runs batch tasks by slowing latency-critical ones or by evicting
// as much as the baseline.
func TestPolicyTargets(t *testing.T) {
	if testing.Short() {
		t.Skip("single-threaded figures run without the race detector")
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			alone := newSim(DefaultConfig(), seed, false, false).run()
			policy := newSim(DefaultConfig(), seed, true, false).run()
			shared := newSim(colocationConfig(), seed, true, false).run()
			firstFit := BaselineConfig()
			firstFit.Mitigation = NoMitigation
			unthrottled := newSim(firstFit, seed, true, false).run()
			baseline := newSim(BaselineConfig(), seed, true, false).run()
			t.Logf("lc alone       %v", alone)
			t.Logf("policy         %v", policy)
			t.Logf("colocation     %v", shared)
			t.Logf("first fit      %v", unthrottled)
			t.Logf("baseline       %v", baseline)
			batch := max(shared.finishedPerHour(), unthrottled.finishedPerHour())
			ratio := float64(policy.latency.ValueAtQuantile(99)) / float64(alone.latency.ValueAtQuantile(99))
			t.Logf("p99 ratio %.3f, batch ratio %.3f, eviction ratio %.3f, finished by kind %v",
				ratio, policy.finishedPerHour()/batch, float64(policy.evictions)/float64(baseline.evictions), policy.finishedBy[lcKinds:])
			is.True(ratio <= 1.25)                            // p99 latency against a run without batch tasks
			is.True(policy.finishedPerHour() >= 0.8*batch)    // batch throughput against unthrottled co-location
			is.True(policy.evictions*4 <= baseline.evictions) // evictions against the baseline
			is.True(policy.wastedWork <= baseline.wastedWork) // wasted work against the baseline
			for _, n := range policy.finishedBy[lcKinds:] {
				is.True(n > 0) // every kind of batch task still finishes
			}
		})
	}
}

// Guards against workers that fail every task, therefore look idle, and drain the queue.
func TestFailingWorkersCostLittleThroughput(t *testing.T) {
	if testing.Short() {
		t.Skip("single-threaded figures run without the race detector")
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			healthy := newSim(DefaultConfig(), seed, true, false).run()
			faulty := newSim(DefaultConfig(), seed, true, true).run()
			baseline := newSim(BaselineConfig(), seed, true, true).run()
			t.Logf("healthy  %v", healthy)
			t.Logf("faulty   %v failed=%d ratio=%.3f", faulty, faulty.failed, faulty.finishedPerHour()/healthy.finishedPerHour())
			t.Logf("baseline %v failed=%d", baseline, baseline.failed)
			is.True(faulty.finishedPerHour() >= 0.9*healthy.finishedPerHour())
		})
	}
}
