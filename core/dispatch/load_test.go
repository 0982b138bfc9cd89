package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/core/work"
)

// loadResult counts how the jobs of one overload run ended.
type loadResult struct {
	inTime, late, worthless int
	longest                 time.Duration
}

// runOverload submits batch work at 2.5 times the fleet's throughput and a small urgent job
// every half second for ten seconds, then runs until all jobs have ended.
func runOverload(t *testing.T, seed uint64, order Order) (batch, urgent loadResult) {
	c := newCluster(t, seed, 5)
	c.failureProbability = 0
	if err := c.dispatcher.SetOrder(order); err != nil {
		t.Fatal(err)
	}
	queues := map[string]work.Queue{
		"batch":  {Name: "batch", Service: "press", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		"urgent": {Name: "urgent", Service: "press", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Slack: 250 * time.Millisecond},
	}
	queueOf := map[oleandervalve.JobID]string{}
	submittedAt := map[oleandervalve.JobID]time.Time{}
	elapsed := map[oleandervalve.JobID]time.Duration{}
	begin := c.now
	nextBatch, nextUrgent := begin, begin
	for n := 0; c.now.Sub(begin) < 90*time.Second; {
		for c.now.Sub(begin) < 10*time.Second && !nextBatch.After(c.now) {
			n++
			id := oleandervalve.JobID(fmt.Sprintf("batch%04d", n))
			// The fleet's 80 cores finish about 80 such tasks per second; about 200 are submitted.
			c.submit(id, queues["batch"], work.Spec{Steps: []work.Step{{Count: 1 + c.rng.IntN(24), Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}})
			queueOf[id], submittedAt[id] = "batch", c.now
			nextBatch = nextBatch.Add(62 * time.Millisecond)
		}
		for c.now.Sub(begin) < 10*time.Second && !nextUrgent.After(c.now) {
			n++
			id := oleandervalve.JobID(fmt.Sprintf("urgent%03d", n))
			c.submit(id, queues["urgent"], work.Spec{Steps: []work.Step{{Count: 3, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}})
			queueOf[id], submittedAt[id] = "urgent", c.now
			nextUrgent = nextUrgent.Add(500 * time.Millisecond)
		}
		c.advanceCommit(true)
		c.advanceCommit(true)
		for len(c.outbox) > 0 {
			c.deliverNextOrder()
		}
		c.advance(20 * time.Millisecond)
		for id, at := range submittedAt {
			if st, ok := c.dispatcher.State(id); ok && st.Terminal() && elapsed[id] == 0 {
				elapsed[id] = c.now.Sub(at)
			}
		}
		if len(elapsed) == len(submittedAt) && c.now.Sub(begin) > 10*time.Second {
			break
		}
	}
	for id := range submittedAt {
		o := &batch
		if queueOf[id] == "urgent" {
			o = &urgent
		}
		objective := queues[queueOf[id]].Objective(c.specs[id])
		switch d := elapsed[id]; {
		case d == 0 || d > zeroValueFactor*objective:
			o.worthless++
		case d > objective:
			o.late++
		default:
			o.inTime++
		}
		if elapsed[id] == 0 {
			t.Fatalf("%s has not ended", id)
		}
		o.longest = max(o.longest, elapsed[id])
	}
	return batch, urgent
}

// Guards against an overload of batch work that delays urgent work, against completing
// fewer jobs in time than a FIFO order does, and against jobs that never end.
func TestOrderUnderOverload(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			batch, urgent := runOverload(t, seed, OrderDefault)
			baseBatch, baseUrgent := runOverload(t, seed, OrderFIFO)
			t.Logf("batch %+v, FIFO %+v; urgent %+v, FIFO %+v", batch, baseBatch, urgent, baseUrgent)
			is.True(batch.inTime > 2*baseBatch.inTime) // most jobs are small
			is.True(batch.worthless < baseBatch.worthless)
			is.Equal(urgent.worthless, 0)
			is.True(urgent.inTime >= 15) // of 20; some run times exceed the objective
		})
	}
}

// Guards against an unbounded backlog, and against refusing the resubmission of an accepted job.
func TestFullBacklogRefusesJobs(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.dispatcher.options.MaxActive = 2
	spec := work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}}
	queue := work.Queue{Name: "q", Service: "press", MaxAttempts: 3}
	for _, id := range []oleandervalve.JobID{"a", "b", "c"} {
		c.submit(id, queue, spec)
	}
	is.Equal(c.replies[3], Reply{Token: 3, Verdict: NotRun, Reason: "backlog", RetryAfter: backlogRetryAfter})
	c.advanceCommit(true)
	c.advanceCommit(true)
	c.submit("a", queue, spec)
	is.Equal(c.replies[4].Verdict, Accepted)
	c.runUntilIdle()
	c.submit("c", queue, spec)
	c.advanceCommit(true)
	c.advanceCommit(true)
	is.Equal(c.replies[5].Verdict, Accepted)
}

// Guards against clients of one queue that take all room for open jobs, and against queues that have
// more room than is left for all of them.
func TestFullQueueLeavesRoomForOthers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.dispatcher.options.MaxActive = 80
	spec := work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}}
	accepted := map[work.QueueName]int{}
	fill := func(name work.QueueName) {
		for {
			c.submit(oleandervalve.JobID(fmt.Sprintf("%s-%d", name, accepted[name])), work.Queue{Name: name, Service: "press", MaxAttempts: 3}, spec)
			if c.replies[c.token].Verdict == NotRun {
				return
			}
			accepted[name]++
		}
	}
	fill("flood")
	is.Equal(accepted["flood"], 80)
	fill("a")
	is.Equal(accepted["a"], 10) // half of a quarter
	fill("flood")
	is.Equal(accepted["flood"], 80)
	fill("b")
	is.Equal(accepted["b"], 6)
	for n := range 10 {
		fill(work.QueueName(fmt.Sprint(n)))
	}
	total := 0
	for _, n := range accepted {
		total += n
	}
	is.Equal(total, c.dispatcher.activeJobs)
	is.True(total <= 100)
}

// Guards against jobs of the largest allowed size that take the memory of the leader, against
// usual jobs that are refused because of them, and against memory that counts after its job.
func TestMemoryOfJobsIsLimited(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.dispatcher.options.MaxMemory = 1 << 20
	large := work.Spec{Repeat: work.MaxTasks, Interval: time.Hour, StartAt: c.now.Add(time.Hour), Steps: []work.Step{{Count: 1, Demand: oleandervalve.Resources{CPU: 1000}}}}
	usual := work.Spec{Steps: []work.Step{{Count: 40, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1}}}}
	queue := work.Queue{Name: "q", Service: "press", MaxAttempts: 3}
	submit := func(id oleandervalve.JobID, s work.Spec) Verdict {
		c.submit(id, queue, s)
		c.advanceCommit(true)
		c.advanceCommit(true)
		return c.replies[c.token].Verdict
	}
	is.Equal(submit("large", large), Accepted) // a single job has room
	is.Equal(submit("other", large), NotRun)
	is.Equal(submit("usual", usual), NotRun) // the single job takes all
	c.cancel("large")
	c.advanceCommit(true)
	c.advanceCommit(true)
	c.now = c.now.Add(time.Hour)
	for c.dispatcher.HasJob("large") {
		c.now = c.now.Add(expiryScanInterval)
		c.dispatcher.Tick(c.now)
		c.advanceCommit(true)
		c.advanceCommit(true)
	}
	is.Equal(c.dispatcher.jobMemory, oleandervalve.Bytes(0))
	half := work.Spec{Payload: strings.Repeat("x", 16<<10), Steps: usual.Steps}
	accepted := 0
	for submit(oleandervalve.JobID(fmt.Sprintf("half-%d", accepted)), half) == Accepted {
		accepted++
	}
	is.True(accepted > 10)
	is.True(c.dispatcher.jobMemory <= 512<<10)
	is.Equal(submit("usual", usual), Accepted)
}

// Guards against a reply before the job is durable, a start before its assignment is
// durable, and a run of a job whose commit was refused.
func TestRepliesFollowCommits(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	spec := work.Spec{Steps: []work.Step{{Count: 2, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}}
	queue := work.Queue{Name: "q", Service: "press", MaxAttempts: 3}
	c.submit("a", queue, spec)
	c.submit("a", queue, spec) // resubmission while the first is in flight
	is.Equal(len(c.replies), 0)
	is.Equal(len(c.outbox), 0)
	_, known := c.dispatcher.State("a")
	is.True(!known)
	c.advanceCommit(true)
	is.Equal(len(c.replies), 0)
	c.advanceCommit(false)
	is.Equal(c.replies[1].Verdict, NotRun)
	is.Equal(c.replies[2].Verdict, NotRun)
	is.Equal(len(c.outbox), 0)
	is.Equal(len(c.dispatcher.agents["agent-00"].runs), 0) // the capacity is free again
	c.submit("a", queue, spec)
	c.advanceCommit(true)
	c.advanceCommit(true)
	is.Equal(c.replies[3].Verdict, Accepted)
	is.Equal(len(c.outbox), 2)
}

// Guards against a caller that gets no answer to a repeated submission because it arrived
// during the commit of the first one, and nothing else of the job is committed for long.
func TestSubmissionDuringCommitIsAnswered(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	spec := work.Spec{Repeat: 1, StartAt: c.now.Add(time.Hour), Steps: []work.Step{{Count: 1, Demand: oleandervalve.Resources{CPU: 1000}}}}
	queue := work.Queue{Name: "q", Service: "press", MaxAttempts: 3}
	c.submit("a", queue, spec)
	c.advanceCommit(true)
	c.submit("a", queue, spec)
	c.advanceCommit(true)
	is.Equal(c.replies[1].Verdict, Accepted)
	second, ok := c.replies[2]
	is.True(ok)
	is.Equal(second.Verdict, Accepted)
}

// newInterferenceCluster returns a cluster of two executors. The best-effort image "press"
// interferes with the image "board" on the first one, but not with the image "watch" on
// the second one.
func newInterferenceCluster(t *testing.T) *cluster {
	c := newCluster(t, 1, 2)
	m := contention.New()
	queue := work.Queue{Name: "s", Service: "press"}
	for i, image := range []oleandervalve.KindName{"board", "watch"} {
		id := oleandervalve.JobID("serve-" + image)
		for _, other := range c.order {
			c.agents[other].status.State = oleandervalve.ExecutorDraining
			c.dispatcher.agents[other].status.State = oleandervalve.ExecutorDraining
		}
		c.dispatcher.agents[c.order[i]].status.State = oleandervalve.ExecutorReady
		c.submit(id, queue, work.Spec{Steps: []work.Step{{Count: 2, LongRunning: true, Image: image, TargetLatency: 150 * time.Millisecond, Demand: oleandervalve.Resources{CPU: 3000}}}})
	}
	for _, a := range c.dispatcher.sortedAgents {
		a.status.State = oleandervalve.ExecutorReady
	}
	// Samples of other executors teach the model how the images interfere.
	for n := range 40 {
		used := oleandervalve.Millicores(n%2) * 2000
		c.now = c.now.Add(400 * time.Millisecond)
		for _, a := range []oleandervalve.AgentID{"x", "y"} {
			s := contention.Sample{}
			interference := 0.0
			if a == "x" {
				s.BestEffort = []contention.BestEffortUsage{{Image: "press", Used: used}}
				interference = 2.5 * float64(used) / 16000
			}
			for _, image := range []oleandervalve.KindName{"board", "watch"} {
				u := 0.5
				if image == "board" {
					u += interference
				}
				s.LatencyCritical = append(s.LatencyCritical, contention.LatencySample{Job: oleandervalve.JobID("serve-" + image), Image: image, TailLatency: int64(25 / (1 - u)), Target: 150})
			}
			m.Observe(c.now, a, 16000, s)
		}
	}
	c.dispatcher.contention = m
	return c
}

// Guards against best-effort tasks co-located with latency-critical tasks that they push
// over their target latency while another executor has capacity, and against keeping them
// away from latency-critical tasks that they don't interfere with.
func TestBestEffortTasksAvoidInterference(t *testing.T) {
	is := is.New(t)
	c := newInterferenceCluster(t)
	queue := work.Queue{Name: "f", Service: "press", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: time.Second}
	c.submit("fill", queue, work.Spec{Steps: []work.Step{{Count: 12, BestEffort: true, Image: "press", Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 2000}}}})
	placed := map[oleandervalve.AgentID]int{}
	for _, a := range c.dispatcher.sortedAgents {
		for k := range a.runs {
			if k.task.Job == "fill" {
				placed[a.id]++
			}
		}
	}
	is.Equal(placed[c.order[0]], 0)      // co-located with "board", with which it interferes
	is.True(placed[c.order[1]] >= 3)     // co-located with "watch", up to its idle processors
	is.True(len(c.dispatcher.ready) > 0) // the other tasks wait
	c.now = c.now.Add(45 * time.Second)  // long enough for aging to drop the required speed to 0
	c.dispatcher.Tick(c.now)
	is.True(len(c.dispatcher.agents[c.order[0]].runs) > 2)
}

// Guards against idle processors while tasks wait, because throttled best-effort tasks are
// counted with their full CPU demand.
func TestThrottledTasksFreeTheirCPU(t *testing.T) {
	is := is.New(t)
	c := newInterferenceCluster(t)
	queue := work.Queue{Name: "f", Service: "press", MaxAttempts: 3, Stretch: 2, Slack: time.Second}
	step := func(image oleandervalve.KindName, n int) work.Spec {
		return work.Spec{Steps: []work.Step{{Count: n, BestEffort: true, Image: image, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 2000}}}}
	}
	c.submit("throttled", queue, step("press", 8))
	executor := c.dispatcher.agents[c.order[1]]
	c.dispatcher.agents[c.order[0]].status.State = oleandervalve.ExecutorDraining
	full := len(executor.runs)
	c.submit("other", queue, step("other", 1))
	is.Equal(len(executor.runs), full) // no idle processors are left
	executor.recordSpeedLimits(c.now, []contention.BestEffortUsage{{Image: "press", SpeedLimit: 10}})
	c.dispatcher.Tick(c.now)
	is.Equal(len(executor.runs), full+1)
	c.now = c.now.Add(speedLimitMaxAge)
	is.True(executor.effectiveBECPU("press", c.now) > 1000) // an old speed limit is ignored
}

// Guards against small tasks that wait although there is capacity for them, because a
// larger task of the same image found none.
func TestSmallTaskIsPlacedAfterLargeOneFails(t *testing.T) {
	is := is.New(t)
	c := newInterferenceCluster(t)
	queue := work.Queue{Name: "f", Service: "press", MaxAttempts: 3, Stretch: 2, Slack: time.Second}
	for i, cpu := range []oleandervalve.Millicores{40000, 30000, 1000} {
		id := oleandervalve.JobID(fmt.Sprintf("job%d", i))
		// The largest has the least remaining work, so it is placed first.
		c.submit(id, queue, work.Spec{Steps: []work.Step{{Count: 1, BestEffort: true, Image: "press", Estimate: time.Duration(i+1) * time.Minute, Demand: oleandervalve.Resources{CPU: cpu}}}})
	}
	c.dispatcher.Tick(c.now)
	is.True(!c.dispatcher.jobs["job0"].running())
	is.True(!c.dispatcher.jobs["job1"].running())
	is.True(c.dispatcher.jobs["job2"].running())
}

// Guards against a job that waits without a running task while most of the fleet is idle,
// because its image interferes with all latency-critical tasks, and against placing it
// while the fleet is busy.
func TestStarvedJobGetsATask(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cpu   oleandervalve.Millicores
		tasks int
	}{{"fleet is free", 1000, 1}, {"fleet is busy", 9000, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newInterferenceCluster(t)
			for _, a := range c.dispatcher.sortedAgents[1:] {
				a.status.State = oleandervalve.ExecutorDraining
			}
			c.submit("base", work.Queue{Name: "b", Service: "press"}, work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Minute, Demand: oleandervalve.Resources{CPU: tc.cpu}}}})
			c.submit("fill", work.Queue{Name: "f", Service: "press", MaxAttempts: 3, Stretch: 2}, work.Spec{Steps: []work.Step{{Count: 3, BestEffort: true, Image: "press", Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 2000}}}})
			is.True(!c.dispatcher.jobs["fill"].running())
			c.now = c.now.Add(starvationAfter)
			c.dispatcher.Tick(c.now)
			n := 0
			for _, task := range c.dispatcher.jobs["fill"].rec.Tasks {
				if task.State == work.TaskAssigned {
					n++
				}
			}
			is.Equal(n, tc.tasks)
		})
	}
}

// Guards against assigning more work to an executor on which everything fails, and against
// never assigning work to it again.
func TestFailingExecutorIsPaused(t *testing.T) {
	is := is.New(t)
	var h health
	now := time.Unix(100, 0)
	is.True(!h.recordFailure("a", now))
	is.True(!h.recordFailure("a", now)) // one job that fails everywhere
	is.True(!h.recordFailure("b", now))
	is.True(h.recordFailure("c", now))
	is.True(!h.admits(now.Add(time.Second), 0))
	is.True(h.admits(now.Add(3*time.Second), 0))
	is.True(!h.admits(now.Add(3*time.Second), 1)) // one run at a time
	is.True(h.recordFailure("d", now.Add(4*time.Second)))
	is.True(!h.admits(now.Add(7*time.Second), 0)) // a longer pause
	h.recordSuccess()
	is.True(h.admits(now, 5))
}

// Guards against assigning more work to executors whose tasks make little or no progress,
// and against treating an executor as slow because of a single slow job.
func TestSlowExecutorIsFound(t *testing.T) {
	for _, tc := range []struct {
		name   string
		sample contention.Sample
		slow   bool
	}{
		{"as fast as others", contention.Sample{Speed: 90, MeasuredJobs: 2}, false},
		{"half as fast", contention.Sample{Speed: 50, MeasuredJobs: 3}, false},
		{"very slow", contention.Sample{Speed: 15, MeasuredJobs: 2}, true},
		{"one very slow job", contention.Sample{Speed: 15, MeasuredJobs: 1}, false},
		{"one stalled job", contention.Sample{Speed: 0, MeasuredJobs: 1}, true},
		{"not measured", contention.Sample{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 6)
			for _, id := range c.order[1:] {
				c.dispatcher.LoadSampled(c.now, id, contention.Sample{Speed: 100, MeasuredJobs: 2})
			}
			for range 2 {
				c.dispatcher.LoadSampled(c.now, c.order[0], tc.sample)
			}
			is.Equal(c.dispatcher.agents[c.order[0]].isSlow(c.now), tc.slow)
			is.True(!c.dispatcher.agents[c.order[0]].isSlow(c.now.Add(slowCooldown)))
		})
	}
}

// Guards against keeping the rows of ended jobs for ever, and against discarding a job
// before its retention has passed or before its rows are deleted.
func TestEndedJobsExpire(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.failureProbability = 0
	spec := work.Spec{Steps: []work.Step{{Count: 1, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}}
	c.submit("a", work.Queue{Name: "q", Service: "press", MaxAttempts: 3}, spec)
	c.runUntilIdle()
	st, _ := c.dispatcher.State("a")
	is.Equal(st, work.Completed)
	c.advance(time.Hour - 10*time.Second)
	is.True(!c.dispatcher.Pending())
	c.advance(20 * time.Second)
	is.True(c.dispatcher.Pending())
	b := c.dispatcher.Batch()
	is.Equal(len(b.Transaction.Puts), 0)
	is.Equal(b.Transaction.Deletes, []oleandervalve.Key{work.RecordKey("a")})
	c.dispatcher.CommitRefused(c.now, b)
	_, known := c.dispatcher.State("a")
	is.True(known)
	b = c.dispatcher.Batch()
	c.dispatcher.CommitApplied(c.now, b, c.lastVersion+1)
	_, known = c.dispatcher.State("a")
	is.True(!known)
}

// Guards against idle processors next to latency-critical tasks under high load: an image
// with negligible interference is still placed there.
func TestNonInterferingImagesShareBusyExecutors(t *testing.T) {
	is := is.New(t)
	c := newInterferenceCluster(t)
	watch := c.dispatcher.agents[c.order[1]]
	c.dispatcher.agents[c.order[0]].status.State = oleandervalve.ExecutorDraining
	c.now = c.now.Add(2 * time.Second)
	c.dispatcher.contention.Observe(c.now, "x", 16000, contention.Sample{LatencyCritical: []contention.LatencySample{{Job: "serve-watch", Image: "watch", TailLatency: 95, Target: 150}}})
	// With a coefficient of 0.3, a task adds 0.04 to the utilisation of the latency-critical tasks.
	c.dispatcher.contention.Restore([]contention.RegressionState{{Image: "watch", Images: []oleandervalve.KindName{"press"}, Gram: [][]float32{{1}}, Moments: []float32{0.3}}})
	load := c.dispatcher.contention.Load(c.now, "serve-watch", "watch")
	is.True(load > lcUtilisationLimit)
	c.submit("fill", work.Queue{Name: "f", Service: "press", MaxAttempts: 3, Stretch: 2, Slack: time.Second}, work.Spec{Steps: []work.Step{{Count: 2, BestEffort: true, Image: "press", Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 2000}}}})
	is.Equal(len(watch.runs), 4)
}
