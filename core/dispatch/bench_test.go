package dispatch

import (
	"fmt"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// newOverloadedDispatcher returns a dispatcher with 52 executors full of latency-critical
// tasks and 60 waiting jobs of best-effort tasks.
func newOverloadedDispatcher() (*Dispatcher, time.Time) {
	now := time.Unix(1000, 0)
	d := New(Options{TakeoverAfter: time.Hour, Retention: time.Hour})
	for i := range 52 {
		id := oleandervalve.AgentID(fmt.Sprintf("agent-%02d", i))
		d.AgentConnected(now, id, oleandervalve.ExecutorStatus{
			Incarnation: oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("x" + id), StartedAt: 1}, Service: "press",
			State: oleandervalve.ExecutorReady, Capacity: oleandervalve.Resources{CPU: 64000, Memory: 250 << 30},
		}, oleandervalve.PollResult{})
	}
	lcQueue := work.Queue{Name: "watch", Service: "press", Stretch: 2.2, Slack: 2500 * time.Millisecond}
	for i := range 16 {
		d.Submit(now, Submission{Token: Token(i + 1), Job: oleandervalve.JobID(fmt.Sprintf("watch%d", i)), Queue: lcQueue, Spec: work.Spec{Steps: []work.Step{{
			Count: 14, Estimate: 400 * time.Millisecond, LongRunning: true, Image: oleandervalve.KindName(fmt.Sprintf("s%d", i%5)),
			TargetLatency: 150 * time.Millisecond, Demand: oleandervalve.Resources{CPU: 13000, Memory: 26 << 30},
		}}}})
	}
	beQueue := work.Queue{Name: "batch", Service: "press", Priority: 2, MaxAttempts: 2, Stretch: 2, Slack: time.Second}
	for i := range 60 {
		d.Submit(now, Submission{Token: Token(i + 100), Job: oleandervalve.JobID(fmt.Sprintf("batch%02d", i)), Queue: beQueue, Spec: work.Spec{Steps: []work.Step{
			{Count: 20, Estimate: 1700 * time.Millisecond, BestEffort: true, Image: oleandervalve.KindName(fmt.Sprintf("f%d", i%9)), Demand: oleandervalve.Resources{CPU: 7000, Memory: 13 << 30}},
			{Count: 20, After: []int{0}, Estimate: 1700 * time.Millisecond, BestEffort: true, Image: oleandervalve.KindName(fmt.Sprintf("f%d", i%9)), Demand: oleandervalve.Resources{CPU: 7000, Memory: 13 << 30}},
		}}})
	}
	d.Schedule(now)
	d.TakeActions()
	return d, now
}

// BenchmarkScheduleUnderOverload measures one scheduling pass over the waiting work while nothing fits.
func BenchmarkScheduleUnderOverload(b *testing.B) {
	d, now := newOverloadedDispatcher()
	for _, a := range d.sortedAgents {
		d.LoadSampled(now, a.id, contention.Sample{LatencyCritical: []contention.LatencySample{{Job: "watch0", Image: "s0", TailLatency: 40, Target: 150}}})
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, a := range d.sortedAgents {
			a.lcUtilisation = nil
		}
		d.placementNeeded = true
		d.Schedule(now)
	}
}

// BenchmarkScheduleFullFleet measures one scheduling pass over waiting tasks that reserve
// processors while nothing fits.
func BenchmarkScheduleFullFleet(b *testing.B) {
	for _, jobs := range []int{1000, 2000, 5000} {
		b.Run(fmt.Sprintf("%d jobs", jobs), func(b *testing.B) {
			d, now := newFullFleet(jobs)
			b.ReportAllocs()
			for b.Loop() {
				d.placementNeeded = true
				d.Schedule(now)
			}
		})
	}
}
