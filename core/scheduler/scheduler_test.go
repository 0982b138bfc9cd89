package scheduler

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"k8s.io/apimachinery/pkg/labels"
	"pgregory.net/rapid"

	"oleandervalve"
	"oleandervalve/core/quota"
	"oleandervalve/core/worker"
)

func init() {
	// A fixed seed makes runs repeatable; -rapid.seed on the command line overrides it.
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}

// newTestScheduler returns a scheduler with empty workers of 16 processors, and with
// teams a and b that own half of the capacity each.
func newTestScheduler(workers int) *Scheduler {
	s := New(DefaultConfig())
	for i := range workers {
		s.UpdateWorker(oleandervalve.WorkerID(fmt.Sprint("w", i)), simLocation(i), labels.Set{}, oleandervalve.Resources{CPU: 16000, Memory: 64 * gib})
	}
	for _, t := range []oleandervalve.TeamID{"a", "b"} {
		s.SetQuota(t, oleandervalve.Resources{CPU: s.fleet.Total().CPU / 2, Memory: s.fleet.Total().Memory / 2})
	}
	return s
}

func tasksOf(job string, n int, spec worker.Spec) []worker.Task {
	spec.Job, spec.Tasks = oleandervalve.JobID(job), n
	if spec.Team == "" {
		spec.Team = "a"
	}
	if spec.Kind == "" {
		spec.Kind = "kind"
	}
	if spec.Declared == (oleandervalve.Resources{}) {
		spec.Declared = oleandervalve.Resources{CPU: 4000, Memory: 4 * gib}
	}
	var out []worker.Task
	for i := range n {
		out = append(out, worker.Task{ID: oleandervalve.TaskID(fmt.Sprint(job, "/", i)), Epoch: 1, Spec: &spec})
	}
	return out
}

func withAction(ds []Decision, a ActionKind) []Decision {
	var out []Decision
	for _, d := range ds {
		if d.Action == a {
			out = append(out, d)
		}
	}
	return out
}

func (s *Scheduler) startAll(ds []Decision, now time.Time) int {
	p := withAction(ds, Place)
	for _, d := range p {
		s.Started(d.Task, now)
	}
	return len(p)
}

// Guards against an infeasible job that is not reported, reported repeatedly, or
// blocks others.
func TestInfeasibleJobIsReportedOnceAndBlocksNobody(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(3)
	s.Submit(epoch, tasksOf("huge", 1, worker.Spec{Declared: oleandervalve.Resources{CPU: 17000}})...)
	s.Submit(epoch, tasksOf("small", 2, worker.Spec{})...)
	ds := s.Step(epoch, 10)
	is.Equal(len(withAction(ds, Place)), 2)
	bad := withAction(ds, Infeasible)
	is.Equal(len(bad), 1)
	is.Equal(bad[0].Diagnosis.Excluded, []worker.Excluded{{Constraint: worker.TotalCapacity, Workers: 3}})
	is.Equal(len(s.Step(epoch.Add(time.Hour), 10)), 0)
	s.UpdateWorker("big", simLocation(9), nil, oleandervalve.Resources{CPU: 64000, Memory: 64 * gib})
	is.Equal(len(withAction(s.Step(epoch.Add(time.Hour), 10), Place)), 1) // a larger worker makes it feasible
}

// Guards against urgent work that waits behind the backlog on a full fleet.
func TestUrgentWorkComesFirstAndFreesCapacity(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(2)
	s.Submit(epoch, tasksOf("backlog", 50, worker.Spec{})...)
	is.Equal(s.startAll(s.Step(epoch, 100), epoch), 8) // full
	now := epoch.Add(time.Minute)
	s.Submit(now, tasksOf("urgent", 1, worker.Spec{Team: "b", Urgent: true})...)
	ev := withAction(s.Step(now, 100), Evict)
	is.Equal(len(ev), 1)
	is.Equal(ev[0].Reason, ReasonUrgentWork)
	s.Stopped(ev[0].Task, 0, now)
	placed := withAction(s.Step(now, 100), Place)
	is.Equal(len(placed), 1)
	is.Equal(placed[0].Job, oleandervalve.JobID("urgent"))
	is.Equal(s.WaitingTasks(), 43)
}

// Guards against unused quota that is not lent, and an owner that doesn't get it back.
func TestLentQuotaIsReclaimed(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(2)
	s.Submit(epoch, tasksOf("borrower", 8, worker.Spec{})...)
	ds := s.Step(epoch, 100)
	is.Equal(s.startAll(ds, epoch), 8)
	is.Equal(ds[3].Claim, quota.Owned)
	is.Equal(ds[7].Claim, quota.Borrowed)
	s.Submit(epoch, tasksOf("owner", 2, worker.Spec{Team: "b"})...)
	is.Equal(len(withAction(s.Step(epoch, 100), Evict)), 0) // tasks that finish get the chance to free capacity first
	now := epoch.Add(s.config.Queue.ReclaimAfter)
	var ev []Decision
	for i := 0; i < 10 && len(ev) == 0; i++ {
		now = now.Add(s.config.Queue.MaxRetryDelay)
		ev = withAction(s.Step(now, 100), Evict)
	}
	is.Equal(len(ev), 1)
	is.Equal(ev[0].Reason, ReasonQuotaReclaimed)
	s.Stopped(ev[0].Task, 0, now)
	placed := withAction(s.Step(now, 100), Place)
	is.Equal(len(placed), 1)
	is.Equal(placed[0].Job, oleandervalve.JobID("owner"))
}

// Guards against a worker that runs out of memory when its tasks grow beyond their
// reserved size.
func TestMemoryGuardEvictsBeforeMemoryRunsOut(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(1)
	s.Submit(epoch, tasksOf("svc", 1, worker.Spec{Kind: "svc", LatencyCritical: true})...)
	s.Submit(epoch, tasksOf("leak", 2, worker.Spec{Kind: "leak"})...)
	is.Equal(s.startAll(s.Step(epoch, 10), epoch), 3)
	s.Checkpointed("leak/1", epoch.Add(time.Minute))
	var used oleandervalve.Bytes
	for now := epoch; ; now = now.Add(10 * time.Second) {
		used = 4*gib + oleandervalve.Bytes(now.Sub(epoch)/time.Second)*gib/20
		for _, id := range []oleandervalve.TaskID{"leak/0", "leak/1"} {
			s.Sample(oleandervalve.UsageSample{Task: id, Epoch: 1, At: now.Add(-30 * time.Second), Used: oleandervalve.Resources{CPU: 1000, Memory: used}}, now)
		}
		ev := withAction(s.Step(now, 10), Evict)
		if len(ev) > 0 {
			is.Equal(ev[0].Reason, ReasonMemoryPressure)
			is.Equal(ev[0].Task, oleandervalve.TaskID("leak/1")) // the least work since its last checkpoint
			break
		}
		is.True(now.Before(epoch.Add(time.Hour)))
	}
	// Both leaking tasks still fit in memory after the sample lag and the eviction.
	is.True(2*(used+oleandervalve.Bytes(45)*gib/20)+4*gib <= 64*gib)
}

// Guards against a draining worker that keeps its tasks until it stops, and against
// a latency-critical job that loses several replicas to one drain.
func TestDrainMigratesAFewTasksAtATime(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(1)
	s.Submit(epoch, tasksOf("svc", 2, worker.Spec{Kind: "svc", LatencyCritical: true, Declared: oleandervalve.Resources{CPU: 1000, Memory: gib}})...)
	s.Submit(epoch, tasksOf("batch", 3, worker.Spec{})...)
	is.Equal(s.startAll(s.Step(epoch, 10), epoch), 5)
	s.DrainWorker("w0", epoch.Add(time.Hour))
	is.Equal(len(s.Step(epoch.Add(time.Second), 10)), 0) // no destination yet
	for i := 1; i < 4; i++ {
		s.UpdateWorker(oleandervalve.WorkerID(fmt.Sprint("w", i)), simLocation(i), nil, oleandervalve.Resources{CPU: 16000, Memory: 64 * gib})
	}
	drained := false
	for now := epoch.Add(time.Minute); now.Before(epoch.Add(20 * time.Minute)); now = now.Add(10 * time.Second) {
		ds := s.Step(now, 10)
		s.startAll(ds, now)
		ev := withAction(ds, Evict)
		is.True(len(ev) <= 2)
		is.True(!slices.ContainsFunc(ev[min(1, len(ev)):], func(d Decision) bool { return d.Job == "svc" && ev[0].Job == "svc" }))
		for _, d := range ev {
			s.Stopped(d.Task, 0, now)
		}
		drained = drained || len(withAction(ds, Drained)) == 1
	}
	is.True(drained)
	is.Equal(s.fleet.Tasks(), 5)
	is.Equal(s.WaitingTasks(), 0)
}

// Guards against a quarantined worker that returns without a probe, is probed with
// latency-critical tasks, or returns at its full start rate.
func TestProbeReadmitsAWorker(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(20)
	now := epoch
	for i := range 3 {
		x := tasksOf(fmt.Sprint("j", i), 1, worker.Spec{Kind: oleandervalve.KindName(fmt.Sprint("k", i))})[0]
		is.NoErr(s.Adopt(x, "w3", x.Declared, now))
		ds := s.Failed(x.ID, now)
		is.Equal(len(withAction(ds, Quarantine)), i/2)
	}
	is.Equal(s.fleet.Worker("w3").State, worker.Quarantined)
	now = now.Add(s.config.Quarantine.Cooldown)
	s.Submit(now, tasksOf("svc", 1, worker.Spec{LatencyCritical: true})...)
	ds := s.Step(now, 10)
	s.startAll(ds, now)
	probe := withAction(ds, Place)[0]
	is.True(probe.Probe)
	is.Equal(probe.Worker, oleandervalve.WorkerID("w3"))
	is.True(!s.fleet.Resident(probe.Task).LatencyCritical)
	s.Stopped(probe.Task, 0, now) // no outcome: another probe follows
	now = now.Add(s.config.Quarantine.Cooldown)
	ds = s.Step(now, 10)
	s.startAll(ds, now)
	is.True(withAction(ds, Place)[0].Probe)
	now = now.Add(s.config.ProbeDuration)
	is.Equal(len(withAction(s.Step(now, 10), Readmit)), 1)
	is.Equal(s.fleet.Worker("w3").State, worker.Ready)
	is.Equal(s.fleet.Worker("w3").StartCap, 1)
}

// Guards against a task that is offered repeatedly to an agent that refuses it.
func TestRefusedTaskGoesElsewhere(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(3)
	s.Submit(epoch, tasksOf("j", 1, worker.Spec{})...)
	first := withAction(s.Step(epoch, 1), Place)[0].Worker
	s.Refused("j/0", epoch)
	is.True(withAction(s.Step(epoch, 1), Place)[0].Worker != first)
}

// Guards against explanations that lack the figures behind them.
func TestExplain(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(2)
	s.Submit(epoch, tasksOf("first", 8, worker.Spec{})...)
	s.Submit(epoch, tasksOf("second", 3, worker.Spec{})...)
	s.startAll(s.Step(epoch, 100), epoch)
	s.Suspect("w1")
	why, ok := s.ExplainJob("second", epoch.Add(time.Minute))
	is.True(ok)
	is.Equal(why.Tasks, 3)
	is.Equal(why.Waited, time.Minute)
	is.Equal(why.Blocked, BlockedQuota) // all quota is in use, including what was lent
	is.Equal(why.Team.Share, 2.0)
	is.Equal(why.Diagnosis.Excluded, []worker.Excluded{{Constraint: worker.NotReady, Workers: 1}, {Constraint: worker.FreeCapacity, Workers: 1}})
	idle, ok := s.ExplainWorker("w1", epoch)
	is.True(ok)
	is.Equal(idle.State, worker.Suspect)
	is.Equal(idle.Free.CPU, oleandervalve.Millicores(0))
	is.Equal(idle.WaitingJobs, 1)
	is.Equal(idle.Excluded, []worker.Excluded{{Constraint: worker.NotReady, Workers: 1}})
	s.parked["p"] = Parked{Reason: ReasonFaultyJob, Workers: 6, At: epoch}
	why, ok = s.ExplainJob("p", epoch)
	is.True(ok)
	is.Equal(why.Parked.Workers, 6)
}

// Guards, for any order of events, against tasks that are lost or run twice, against
// reservations beyond a worker's capacity, and against quota accounts that differ
// from the actual use.
func TestTasksAndQuotaAccountsStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestScheduler(4)
		now := epoch
		jobs, unfinished := 0, 0
		stopping := map[oleandervalve.TaskID]bool{}
		capacity := oleandervalve.Resources{CPU: 16000, Memory: 64 * gib}
		ids := rapid.Map(rapid.IntRange(0, 5), func(i int) oleandervalve.WorkerID { return oleandervalve.WorkerID(fmt.Sprint("w", i)) })
		resident := func(t *rapid.T) *worker.Resident {
			var all []*worker.Resident
			s.fleet.Workers(func(w *worker.Worker) bool {
				all = append(all, w.Residents...)
				return true
			})
			if len(all) == 0 {
				t.Skip("no task is placed")
			}
			return rapid.SampledFrom(all).Draw(t, "resident")
		}
		end := func(r *worker.Resident, ds []Decision) {
			delete(stopping, r.ID)
			if len(withAction(ds, Park)) > 0 || s.parked[r.Job].Workers > 0 {
				unfinished = s.fleet.Tasks() + s.WaitingTasks() // parking removed the waiting tasks of the job
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				jobs++
				n := rapid.IntRange(1, 6).Draw(t, "tasks")
				unfinished += n
				s.Submit(now, tasksOf(fmt.Sprint("j", jobs), n, worker.Spec{
					Team: rapid.SampledFrom([]oleandervalve.TeamID{"a", "b", "c"}).Draw(t, "team"),
					Kind: rapid.SampledFrom([]oleandervalve.KindName{"k", "l", "m", "n"}).Draw(t, "kind"),
					Declared: oleandervalve.Resources{
						CPU:    oleandervalve.Millicores(rapid.IntRange(100, 17000).Draw(t, "cpu")),
						Memory: oleandervalve.Bytes(rapid.Int64Range(1, int64(40*gib)).Draw(t, "memory")),
					},
					LatencyCritical: rapid.Bool().Draw(t, "latencyCritical"), Urgent: rapid.Bool().Draw(t, "urgent"),
				})...)
			},
			"cancel": func(t *rapid.T) {
				unfinished -= s.Cancel(oleandervalve.JobID(fmt.Sprint("j", rapid.IntRange(0, 20).Draw(t, "job"))))
			},
			"step": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "s")) * time.Second)
				for _, d := range s.Step(now, 20) {
					switch d.Action {
					case Place:
						if s.fleet.Resident(d.Task) == nil {
							t.Fatal("placed task has no reservation")
						}
						s.Started(d.Task, now)
					case Evict:
						if stopping[d.Task] {
							t.Fatalf("%s is evicted twice", d.Task)
						}
						stopping[d.Task] = true
					}
				}
			},
			"finish": func(t *rapid.T) {
				r := resident(t)
				s.Finished(r.ID, now)
				delete(stopping, r.ID)
				unfinished--
			},
			"fail": func(t *rapid.T) {
				r := resident(t)
				end(r, s.Failed(r.ID, now))
			},
			"stop": func(t *rapid.T) {
				r := resident(t)
				s.Stopped(r.ID, time.Minute, now)
				delete(stopping, r.ID)
			},
			"refuse": func(t *rapid.T) {
				r := resident(t)
				s.Refused(r.ID, now)
				delete(stopping, r.ID)
			},
			"sample": func(t *rapid.T) {
				r := resident(t)
				s.Sample(oleandervalve.UsageSample{
					Task: r.ID, Epoch: r.Epoch, At: now.Add(-30 * time.Second), Slowdown: rapid.Float64Range(0.9, 3).Draw(t, "slowdown"),
					Used: oleandervalve.Resources{CPU: oleandervalve.Millicores(rapid.IntRange(0, 16000).Draw(t, "cpu")), Memory: oleandervalve.Bytes(rapid.Int64Range(0, int64(60*gib)).Draw(t, "memory"))},
				}, now)
			},
			"worker":  func(t *rapid.T) { s.UpdateWorker(ids.Draw(t, "worker"), simLocation(1), nil, capacity) },
			"suspect": func(t *rapid.T) { s.Suspect(ids.Draw(t, "worker")) },
			"heard":   func(t *rapid.T) { s.HeartbeatReceived(ids.Draw(t, "worker")) },
			"replace": func(t *rapid.T) { s.DrainWorker(ids.Draw(t, "worker"), now.Add(time.Hour)) },
			"keep":    func(t *rapid.T) { s.CancelDrain(ids.Draw(t, "worker")) },
			"gone": func(t *rapid.T) {
				for _, id := range s.WorkerTerminated(ids.Draw(t, "worker"), now) {
					delete(stopping, id)
				}
			},
			"": func(t *rapid.T) {
				used := map[oleandervalve.TeamID]oleandervalve.Resources{}
				earmarks := 0
				s.fleet.Workers(func(w *worker.Worker) bool {
					var sum oleandervalve.Resources
					for _, r := range w.Residents {
						sum = sum.Add(r.Size)
						used[r.Team] = used[r.Team].Add(r.Size)
						if s.queue.byJob[queueKey{r.Job, r.Urgent}] != nil && slices.ContainsFunc(s.queue.byJob[queueKey{r.Job, r.Urgent}].tasks, func(x worker.Task) bool { return x.ID == r.ID }) {
							t.Fatalf("%s is placed and waits", r.ID)
						}
					}
					if !sum.Fits(w.Capacity) {
						t.Fatalf("%s: %v of %v", w.ID, sum, w.Capacity)
					}
					return true
				})
				for _, id := range []oleandervalve.TeamID{"a", "b", "c"} {
					if got := s.ledger.TeamStatus(id).Used; got != used[id] {
						t.Fatalf("team %s is charged %v and uses %v", id, got, used[id])
					}
				}
				s.queue.forEachJob(func(j *waitingJob) bool {
					if j.earmarked != nil {
						earmarks++
					}
					return true
				})
				if earmarks != s.queue.earmarks {
					t.Fatalf("%d jobs have an earmarked worker, %d are counted", earmarks, s.queue.earmarks)
				}
				if n := s.fleet.Tasks() + s.WaitingTasks(); n != unfinished {
					t.Fatalf("%d tasks are placed or wait, not %d", n, unfinished)
				}
			},
		})
	})
}
