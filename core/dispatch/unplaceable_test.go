package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
)

// newFullFleet returns a dispatcher with 240 executors full of tasks that reserve processors, and
// further jobs of such tasks that wait.
func newFullFleet(jobs int) (*Dispatcher, time.Time) {
	now := time.Unix(1000, 0)
	d := New(Options{TakeoverAfter: time.Hour, Retention: time.Hour})
	for i := range 240 {
		id := oleandervalve.AgentID(fmt.Sprintf("agent-%03d", i))
		d.AgentConnected(now, id, oleandervalve.ExecutorStatus{
			Incarnation: oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("x" + id), StartedAt: 1}, Service: "press",
			State: oleandervalve.ExecutorReady, Capacity: oleandervalve.Resources{CPU: 64000, Memory: 250 << 30},
		}, oleandervalve.PollResult{})
	}
	queue := work.Queue{Name: "heat", Service: "press", MaxAttempts: 2, Stretch: 2, Slack: 300 * time.Millisecond}
	for i := range jobs {
		d.Submit(now, Submission{Token: Token(i + 1), Job: oleandervalve.JobID(fmt.Sprintf("heat%05d", i)), Queue: queue, Spec: work.Spec{Steps: []work.Step{
			{Count: 13, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: oleandervalve.Millicores(2000 + i*7919%3000), Memory: oleandervalve.Bytes(4+i*31%7) << 30}},
		}}})
	}
	d.Schedule(now)
	d.TakeActions()
	return d, now
}

// Guards against a leader of a large fleet that spends its processor on a search through all
// executors for each of thousands of waiting jobs, in each pass.
func TestFullFleetIsNotSearchedForEachJob(t *testing.T) {
	is := is.New(t)
	d, now := newFullFleet(2000)
	d.placementNeeded = true
	d.Schedule(now)
	t.Logf("%d waiting steps, %d searches", len(d.ready), d.searches)
	is.True(len(d.ready) > 1000)
	is.True(d.searches <= len(d.ready)/10)
}

// Guards against a task that waits although an executor has room for it, because another task
// has found none.
func TestNoTaskWaitsBesideRoom(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 39))
		now := time.Unix(1000, 0)
		d := New(Options{TakeoverAfter: time.Hour, Retention: time.Hour})
		for i := range 12 {
			id := oleandervalve.AgentID(fmt.Sprintf("agent-%03d", i))
			d.AgentConnected(now, id, oleandervalve.ExecutorStatus{
				Incarnation: oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("x" + id), StartedAt: 1},
				Service:     []oleandervalve.ServiceName{"press", "heat"}[rng.IntN(2)], State: oleandervalve.ExecutorReady,
				Labels:   []string{[]string{"plain", "gpu"}[rng.IntN(2)], "r"},
				Capacity: oleandervalve.Resources{CPU: oleandervalve.Millicores(8000 + rng.IntN(64000)), Memory: oleandervalve.Bytes(8+rng.IntN(240)) << 30},
			}, oleandervalve.PollResult{})
		}
		for i := range 150 {
			s := work.Step{
				Count: 1 + rng.IntN(12), Estimate: time.Duration(1+rng.IntN(9)) * time.Second, Label: []string{"", "plain", "gpu"}[rng.IntN(3)],
				MaxPerExecutor: []int{0, 0, 1}[rng.IntN(3)], LongRunning: rng.IntN(4) == 0,
				Demand: oleandervalve.Resources{CPU: oleandervalve.Millicores(100 + rng.IntN(9000)), Memory: oleandervalve.Bytes(1+rng.IntN(20)) << 30},
			}
			queue := work.Queue{Name: "q", Service: []oleandervalve.ServiceName{"press", "heat"}[rng.IntN(2)], Priority: rng.IntN(3), MaxAttempts: 2, Stretch: 2}
			d.Submit(now, Submission{Token: Token(i + 1), Job: oleandervalve.JobID(fmt.Sprintf("job%03d", i)), Queue: queue, Spec: work.Spec{Steps: []work.Step{s}}})
		}
		for range 3 {
			// After 3 s, tasks that wait may run beside isolated ones.
			d.placementNeeded = true
			d.Schedule(now)
			for s := range d.ready {
				if a, _ := d.choose(s, s.waiting[0], now); a != nil {
					t.Fatalf("seed %d: %s waits although %s has room", seed, s.job.id, a.id)
				}
			}
			now = now.Add(3 * time.Second)
			a := d.sortedAgents[rng.IntN(len(d.sortedAgents))]
			if len(a.runs) > 0 {
				a.release(a.sortedRuns()[0])
			}
			d.sortedAgents[rng.IntN(len(d.sortedAgents))].quietUntil = now.Add(time.Second)
		}
	}
}
