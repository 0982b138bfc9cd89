package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// outcome is what the callers of one flood get.
type outcome struct {
	inTime, late, hopeless int
	longest                time.Duration
}

// flood hands in 2.5 times the work that the fleet finishes for ten seconds,
// beside a small urgent job every half second, and plays until all has ended.
func flood(t *testing.T, seed uint64, order Order) (batch, urgent outcome) {
	w := newWorld(t, seed, 5)
	w.failShare = 0
	if err := w.d.SetOrder(order); err != nil {
		t.Fatal(err)
	}
	queues := map[string]work.Queue{
		"batch":  {Name: "batch", Service: "press", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		"urgent": {Name: "urgent", Service: "press", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Slack: 250 * time.Millisecond},
	}
	kinds := map[oleandervalve.JobID]string{}
	started := map[oleandervalve.JobID]time.Time{}
	took := map[oleandervalve.JobID]time.Duration{}
	begin := w.now
	nextBatch, nextUrgent := begin, begin
	for n := 0; w.now.Sub(begin) < 90*time.Second; {
		for w.now.Sub(begin) < 10*time.Second && !nextBatch.After(w.now) {
			n++
			id := oleandervalve.JobID(fmt.Sprintf("batch%04d", n))
			// About 80 cores hold 80 such tasks a second; 200 come.
			w.submit(id, queues["batch"], work.Spec{Steps: []work.Step{{Count: 1 + w.r.IntN(24), Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}})
			kinds[id], started[id] = "batch", w.now
			nextBatch = nextBatch.Add(62 * time.Millisecond)
		}
		for w.now.Sub(begin) < 10*time.Second && !nextUrgent.After(w.now) {
			n++
			id := oleandervalve.JobID(fmt.Sprintf("urgent%03d", n))
			w.submit(id, queues["urgent"], work.Spec{Steps: []work.Step{{Count: 3, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}})
			kinds[id], started[id] = "urgent", w.now
			nextUrgent = nextUrgent.Add(500 * time.Millisecond)
		}
		w.commit(true)
		w.commit(true)
		for len(w.outbox) > 0 {
			w.deliver()
		}
		w.advance(20 * time.Millisecond)
		for id, at := range started {
			if st, ok := w.d.State(id); ok && st.Terminal() && took[id] == 0 {
				took[id] = w.now.Sub(at)
			}
		}
		if len(took) == len(started) && w.now.Sub(begin) > 10*time.Second {
			break
		}
	}
	for id := range started {
		o := &batch
		if kinds[id] == "urgent" {
			o = &urgent
		}
		objective := queues[kinds[id]].Objective(w.specs[id])
		switch d := took[id]; {
		case d == 0 || d > lateFactor*objective:
			o.hopeless++
		case d > objective:
			o.late++
		default:
			o.inTime++
		}
		if took[id] == 0 {
			t.Fatalf("%s does not end: starved", id)
		}
		o.longest = max(o.longest, took[id])
	}
	return batch, urgent
}

// Guards against a flood of batch work in which urgent work waits, in which
// fewer callers are served in time than with first come, first served, or in
// which a job never ends.
func TestFloodOrder(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			batch, urgent := flood(t, seed, OrderProduct)
			baseBatch, baseUrgent := flood(t, seed, OrderFirstCome)
			t.Logf("batch %+v, first come %+v; urgent %+v, first come %+v", batch, baseBatch, urgent, baseUrgent)
			is.True(batch.inTime > 2*baseBatch.inTime) // most callers ask for little
			is.True(batch.hopeless < baseBatch.hopeless)
			is.Equal(urgent.hopeless, 0)
			is.True(urgent.inTime >= 15) // of twenty; run times vary beyond the objective
		})
	}
}

// Guards against a backlog without a bound, and against a refusal of a job that
// was accepted before.
func TestBacklogIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	w.d.options.MaxOpen = 2
	spec := work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}}
	queue := work.Queue{Name: "q", Service: "press", MaxAttempts: 3}
	for _, id := range []oleandervalve.JobID{"a", "b", "c"} {
		w.submit(id, queue, spec)
	}
	is.Equal(w.replies[3], Reply{Token: 3, Verdict: NotRun, Reason: "backlog", RetryAfter: backlogRetry})
	w.commit(true)
	w.commit(true)
	w.submit("a", queue, spec)
	is.Equal(w.replies[4].Verdict, Accepted)
	w.settle()
	w.submit("c", queue, spec)
	w.commit(true)
	w.commit(true)
	is.Equal(w.replies[5].Verdict, Accepted)
}

// Guards against an answer before the job is durable, a start before its
// assignment is, and a refused commit whose job runs.
func TestAnswersFollowCommits(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	spec := work.Spec{Steps: []work.Step{{Count: 2, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}}
	queue := work.Queue{Name: "q", Service: "press", MaxAttempts: 3}
	w.submit("a", queue, spec)
	w.submit("a", queue, spec) // a repeated submission while the first is on its way
	is.Equal(len(w.replies), 0)
	is.Equal(len(w.outbox), 0)
	_, known := w.d.State("a")
	is.True(!known)
	w.commit(true)
	is.Equal(len(w.replies), 0)
	w.commit(false)
	is.Equal(w.replies[1].Verdict, NotRun)
	is.Equal(w.replies[2].Verdict, NotRun)
	is.Equal(len(w.outbox), 0)
	is.Equal(len(w.d.agents["agent-00"].runs), 0) // the room is free again
	w.submit("a", queue, spec)
	w.commit(true)
	w.commit(true)
	is.Equal(w.replies[3].Verdict, Accepted)
	is.Equal(len(w.outbox), 2)
}

// filled is a dispatcher with two executors: one serves an image that the
// filling image "press" disturbs, the other one that it doesn't.
func filled(t *testing.T) *world {
	w := newWorld(t, 1, 2)
	m := contention.New()
	queue := work.Queue{Name: "s", Service: "press"}
	for i, image := range []oleandervalve.KindName{"board", "watch"} {
		id := oleandervalve.JobID("serve-" + image)
		for _, other := range w.order {
			w.agents[other].status.State = oleandervalve.ExecutorDraining
			w.d.agents[other].status.State = oleandervalve.ExecutorDraining
		}
		w.d.agents[w.order[i]].status.State = oleandervalve.ExecutorReady
		w.submit(id, queue, work.Spec{Steps: []work.Step{{Count: 2, LongRunning: true, Image: image, Target: 150 * time.Millisecond, Demand: oleandervalve.Resources{CPU: 3000}}}})
	}
	for _, a := range w.d.ordered {
		a.status.State = oleandervalve.ExecutorReady
	}
	// Samples of other executors have shown the pairs.
	for n := range 40 {
		used := oleandervalve.Millicores(n%2) * 2000
		w.now = w.now.Add(400 * time.Millisecond)
		for _, a := range []oleandervalve.AgentID{"x", "y"} {
			s := contention.Sample{}
			press := 0.0
			if a == "x" {
				s.Filling = []contention.Filling{{Image: "press", Used: used}}
				press = 2.5 * float64(used) / 16000
			}
			for _, image := range []oleandervalve.KindName{"board", "watch"} {
				u := 0.5
				if image == "board" {
					u += press
				}
				s.Serving = append(s.Serving, contention.Serving{Job: oleandervalve.JobID("serve-" + image), Image: image, Tail: int64(25 / (1 - u)), Target: 150})
			}
			m.Observe(w.now, a, 16000, s)
		}
	}
	w.d.contention = m
	return w
}

// Guards against filling tasks beside serving tasks that they press over their
// targets while another executor has room, and against ones that are held back
// from serving tasks that they don't disturb.
func TestFillingTasksAvoidWhatTheyDisturb(t *testing.T) {
	is := is.New(t)
	w := filled(t)
	queue := work.Queue{Name: "f", Service: "press", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second}
	w.submit("fill", queue, work.Spec{Steps: []work.Step{{Count: 12, Fills: true, Image: "press", Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 2000}}}})
	fills := map[oleandervalve.AgentID]int{}
	for _, a := range w.d.ordered {
		for k := range a.runs {
			if k.task.Job == "fill" {
				fills[a.id]++
			}
		}
	}
	is.Equal(fills[w.order[0]], 0)      // beside "board", which it presses
	is.True(fills[w.order[1]] >= 3)     // beside "watch", up to the idle processors
	is.True(len(w.d.ready) > 0)         // the rest waits
	w.now = w.now.Add(45 * time.Second) // beyond all patience
	w.d.Tick(w.now)
	is.True(len(w.d.agents[w.order[0]].runs) > 2)
}

// Guards against processors that stay idle while work for them waits, because
// filling tasks that are paced down still count with all they asked for.
func TestPacedDownTasksLeaveTheirProcessors(t *testing.T) {
	is := is.New(t)
	w := filled(t)
	queue := work.Queue{Name: "f", Service: "press", MaxAttempts: 3, Stretch: 2, Slack: time.Second}
	step := func(image oleandervalve.KindName, n int) work.Spec {
		return work.Spec{Steps: []work.Step{{Count: n, Fills: true, Image: image, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 2000}}}}
	}
	w.submit("pressing", queue, step("press", 8))
	on := w.d.agents[w.order[1]]
	w.d.agents[w.order[0]].status.State = oleandervalve.ExecutorDraining
	full := len(on.runs)
	w.submit("light", queue, step("light", 1))
	is.Equal(len(on.runs), full) // all idle processors are taken
	on.notePaces(w.now, []contention.Filling{{Image: "press", Pace: 10}})
	w.d.Tick(w.now)
	is.Equal(len(on.runs), full+1)
	w.now = w.now.Add(paceMemory)
	is.True(on.workingFill("press", w.now) > 1000) // an old pace doesn't count
}

// Guards against small tasks that wait beside room for them because a larger
// one of their image found none.
func TestSmallTaskIsPlacedAfterALargeOneWasNot(t *testing.T) {
	is := is.New(t)
	w := filled(t)
	queue := work.Queue{Name: "f", Service: "press", MaxAttempts: 3, Stretch: 2, Slack: time.Second}
	for i, cpu := range []oleandervalve.Millicores{40000, 30000, 1000} {
		id := oleandervalve.JobID(fmt.Sprintf("job%d", i))
		// The largest has the least remaining work, so it comes first.
		w.submit(id, queue, work.Spec{Steps: []work.Step{{Count: 1, Fills: true, Image: "press", Estimate: time.Duration(i+1) * time.Minute, Demand: oleandervalve.Resources{CPU: cpu}}}})
	}
	w.d.Tick(w.now)
	is.True(!w.d.jobs["job0"].running())
	is.True(!w.d.jobs["job1"].running())
	is.True(w.d.jobs["job2"].running())
}

// Guards against a job that waits with nothing running while most of the fleet
// is free, because its image disturbs all serving tasks, and against one that
// presses them while the fleet is busy.
func TestJobWithNothingRunningGetsATask(t *testing.T) {
	for _, c := range []struct {
		name  string
		cpu   oleandervalve.Millicores
		tasks int
	}{{"fleet is free", 1000, 1}, {"fleet is busy", 9000, 0}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := filled(t)
			for _, a := range w.d.ordered[1:] {
				a.status.State = oleandervalve.ExecutorDraining
			}
			w.submit("base", work.Queue{Name: "b", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Minute, Demand: oleandervalve.Resources{CPU: c.cpu}}}})
			w.submit("fill", work.Queue{Name: "f", Service: "press", MaxAttempts: 3, Stretch: 2}, work.Spec{Steps: []work.Step{{Count: 3, Fills: true, Image: "press", Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 2000}}}})
			is.True(!w.d.jobs["fill"].running())
			w.now = w.now.Add(starveAfter)
			w.d.Tick(w.now)
			n := 0
			for _, task := range w.d.jobs["fill"].rec.Tasks {
				if task.State == work.TaskAssigned {
					n++
				}
			}
			is.Equal(n, c.tasks)
		})
	}
}

// Guards against an executor that fails everything and keeps getting work, and
// against one that never gets work again.
func TestFailingExecutorIsPaused(t *testing.T) {
	is := is.New(t)
	var h health
	now := time.Unix(100, 0)
	is.True(!h.hasFailed("a", now))
	is.True(!h.hasFailed("a", now)) // one job that fails everywhere
	is.True(!h.hasFailed("b", now))
	is.True(h.hasFailed("c", now))
	is.True(!h.admits(now.Add(time.Second), 0))
	is.True(h.admits(now.Add(3*time.Second), 0))
	is.True(!h.admits(now.Add(3*time.Second), 1)) // one run at a time
	is.True(h.hasFailed("d", now.Add(4*time.Second)))
	is.True(!h.admits(now.Add(7*time.Second), 0)) // a longer pause
	h.succeeded()
	is.True(h.admits(now, 5))
}

// Guards against executors whose tasks stand still or crawl that keep getting
// work, and against a slow single job that makes its executor suspect.
func TestSlowExecutorIsFound(t *testing.T) {
	for _, c := range []struct {
		name   string
		sample contention.Sample
		slow   bool
	}{
		{"as fast as others", contention.Sample{Speed: 90, Measured: 2}, false},
		{"half as fast", contention.Sample{Speed: 50, Measured: 3}, false},
		{"crawls", contention.Sample{Speed: 15, Measured: 2}, true},
		{"one job crawls", contention.Sample{Speed: 15, Measured: 1}, false},
		{"one job stands still", contention.Sample{Speed: 0, Measured: 1}, true},
		{"not measured", contention.Sample{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1, 6)
			for _, id := range w.order[1:] {
				w.d.Sampled(w.now, id, contention.Sample{Speed: 100, Measured: 2})
			}
			for range 2 {
				w.d.Sampled(w.now, w.order[0], c.sample)
			}
			is.Equal(w.d.agents[w.order[0]].isSlow(w.now), c.slow)
			is.True(!w.d.agents[w.order[0]].isSlow(w.now.Add(slowMemory)))
		})
	}
}

// Guards against rows of ended jobs that are kept for ever, and against a job
// that is forgotten before its time or before its rows are gone.
func TestEndedJobsExpire(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	w.failShare = 0
	spec := work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}}
	w.submit("a", work.Queue{Name: "q", Service: "press", MaxAttempts: 3}, spec)
	w.settle()
	st, _ := w.d.State("a")
	is.Equal(st, work.Completed)
	w.advance(time.Hour - 10*time.Second)
	is.True(!w.d.Pending())
	w.advance(20 * time.Second)
	is.True(w.d.Pending())
	b := w.d.Batch()
	is.Equal(len(b.Transaction.Puts), 0)
	is.Equal(b.Transaction.Deletes, []oleandervalve.Key{work.RecordKey("a")})
	w.d.Refused(w.now, b)
	_, known := w.d.State("a")
	is.True(known)
	b = w.d.Batch()
	w.d.Applied(w.now, b, w.next+1)
	_, known = w.d.State("a")
	is.True(!known)
}

// Guards against idle processors beside serving tasks whose load is high: an
// image that is known to do no harm is started there all the same.
func TestHarmlessImagesFillBesideBusyServingTasks(t *testing.T) {
	is := is.New(t)
	w := filled(t)
	watch := w.d.agents[w.order[1]]
	w.d.agents[w.order[0]].status.State = oleandervalve.ExecutorDraining
	w.now = w.now.Add(2 * time.Second)
	w.d.contention.Observe(w.now, "x", 16000, contention.Sample{Serving: []contention.Serving{{Job: "serve-watch", Image: "watch", Tail: 95, Target: 150}}})
	// A weight of 0.3: a task adds 0.04 to the utilisation of the serving tasks.
	w.d.contention.Restore([]contention.Learned{{Serving: "watch", Images: []oleandervalve.KindName{"press"}, Products: [][]float32{{1}}, Results: []float32{0.3}}})
	load := w.d.contention.Load(w.now, "serve-watch", "watch")
	is.True(load > tenantLimit)
	w.submit("fill", work.Queue{Name: "f", Service: "press", MaxAttempts: 3, Stretch: 2, Slack: time.Second}, work.Spec{Steps: []work.Step{{Count: 2, Fills: true, Image: "press", Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 2000}}}})
	is.Equal(len(watch.runs), 4)
}
