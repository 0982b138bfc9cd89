package dispatch

import (
	"fmt"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// floodedFleet is a dispatcher with 52 executors full of serving tasks and 60
// jobs of filling tasks that wait.
func floodedFleet() (*Dispatcher, time.Time) {
	now := time.Unix(1000, 0)
	d := New(Options{TakeoverAfter: time.Hour, Retention: time.Hour})
	for i := range 52 {
		id := oleandervalve.AgentID(fmt.Sprintf("agent-%02d", i))
		d.Joined(now, id, oleandervalve.ExecutorStatus{
			Incarnation: oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("x" + id), Born: 1}, Service: "press",
			State: oleandervalve.ExecutorReady, Capacity: oleandervalve.Resources{CPU: 64000, Memory: 250 << 30},
		}, oleandervalve.Holding{})
	}
	serving := work.Queue{Name: "watch", Service: "press", Stretch: 2.2, Slack: 2500 * time.Millisecond}
	for i := range 16 {
		d.Submit(now, Submission{Token: Token(i + 1), Job: oleandervalve.JobID(fmt.Sprintf("watch%d", i)), Queue: serving, Spec: work.Spec{Steps: []work.Step{{
			Count: 14, Estimate: 400 * time.Millisecond, LongRunning: true, Image: oleandervalve.KindName(fmt.Sprintf("s%d", i%5)),
			Target: 150 * time.Millisecond, Demand: oleandervalve.Resources{CPU: 13000, Memory: 26 << 30},
		}}}})
	}
	batch := work.Queue{Name: "batch", Service: "press", Priority: 2, MaxAttempts: 2, Stretch: 2, Slack: time.Second}
	for i := range 60 {
		d.Submit(now, Submission{Token: Token(i + 100), Job: oleandervalve.JobID(fmt.Sprintf("batch%02d", i)), Queue: batch, Spec: work.Spec{Steps: []work.Step{
			{Count: 20, Estimate: 1700 * time.Millisecond, Fills: true, Image: oleandervalve.KindName(fmt.Sprintf("f%d", i%9)), Demand: oleandervalve.Resources{CPU: 7000, Memory: 13 << 30}},
			{Count: 20, After: []int{0}, Estimate: 1700 * time.Millisecond, Fills: true, Image: oleandervalve.KindName(fmt.Sprintf("f%d", i%9)), Demand: oleandervalve.Resources{CPU: 7000, Memory: 13 << 30}},
		}}})
	}
	d.Schedule(now)
	d.Next()
	return d, now
}

// BenchmarkScheduleInFlood measures one pass over the waiting work while
// nothing fits.
func BenchmarkScheduleInFlood(b *testing.B) {
	d, now := floodedFleet()
	for _, a := range d.ordered {
		d.Sampled(now, a.id, contention.Sample{Serving: []contention.Serving{{Job: "watch0", Image: "s0", Tail: 40, Target: 150}}})
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, a := range d.ordered {
			a.pressure = nil
		}
		d.stale = true
		d.Schedule(now)
	}
}
