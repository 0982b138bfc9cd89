package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/work"
)

// randomSpec returns a job of one to three steps.
func (w *world) randomSpec() work.Spec {
	s := work.Spec{Payload: "p"}
	for i := range 1 + w.r.IntN(3) {
		st := work.Step{
			Count: 1 + w.r.IntN(6), Estimate: time.Second,
			Demand: oleandervalve.Resources{CPU: oleandervalve.Millicores(500 + w.r.IntN(4000)), Memory: oleandervalve.Bytes(1+w.r.IntN(8)) << 30},
		}
		if i > 0 {
			st.After = []int{w.r.IntN(i)}
		}
		if w.r.IntN(4) == 0 {
			st.MaxPerExecutor = 1 + w.r.IntN(2)
		}
		if w.r.IntN(5) == 0 {
			// A gang beyond its spread limit could never run.
			st.Gang, st.SameRack, st.MaxPerExecutor = true, w.r.IntN(2) == 0, 0
		}
		s.Steps = append(s.Steps, st)
	}
	return s
}

// play runs one random interleaving of load and faults.
func (w *world) play(steps int) {
	queue := work.Queue{Name: "q", Service: "press", MaxAttempts: 3, Stretch: 2, Permits: w.permits}
	jobs := 0
	for range steps {
		a := w.agents[w.order[w.r.IntN(len(w.order))]]
		switch n := w.r.IntN(100); {
		case n < 12:
			jobs++
			w.submit(oleandervalve.JobID(fmt.Sprintf("job%04d", jobs)), queue, w.randomSpec())
		case n < 14 && jobs > 0:
			// A repeated submission of any earlier job.
			id := oleandervalve.JobID(fmt.Sprintf("job%04d", 1+w.r.IntN(jobs)))
			w.submit(id, queue, w.specs[id])
		case n < 16 && jobs > 0:
			w.cancel(oleandervalve.JobID(fmt.Sprintf("job%04d", 1+w.r.IntN(jobs))))
		case n < 40:
			w.commit(w.r.IntN(10) > 0)
		case n < 70:
			w.deliver()
		case n < 72:
			if a.connected {
				a.connected = false
				w.d.Lost(w.now, a.id)
			}
		case n < 76:
			if !a.connected {
				w.connect(a)
			}
		case n < 77:
			w.crash(a)
		case n < 78:
			// The batch on its way may or may not be applied before the takeover.
			if w.batch != nil && w.r.IntN(2) == 0 {
				w.store(w.batch)
			}
			w.lead()
		default:
			w.advance(time.Duration(10+w.r.IntN(200)) * time.Millisecond)
		}
	}
}

// Guards against a task that runs twice, starts too early, too often, after its
// end or its job's cancellation, or beyond an executor's capacity, and against
// jobs that never end, under lost connections, crashed executors, refused
// commits and changes of the leader.
func TestRandomInterleavingsKeepThePromises(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 60
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, seed, 5)
			if seed%3 == 2 {
				w.permits = work.PermitPolicy{Decide: 50 * time.Millisecond, PerExecutor: 5 * time.Millisecond, Valid: 3 * time.Second}
			}
			defer func() {
				if t.Failed() {
					t.Log(strings.Join(w.events, "\n"))
				}
			}()
			w.play(600)
			w.settle()
			for token, id := range w.tokens {
				if r, ok := w.replies[token]; ok && r.Verdict == NotRun {
					if w.done[oleandervalve.TaskName{Job: id}] && w.rows[id].Version == 0 {
						t.Fatalf("%s was refused and has run", id)
					}
				}
			}
		})
	}
}
