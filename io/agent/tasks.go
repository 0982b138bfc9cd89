package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/instance"
	"oleandervalve/core/job"
	"oleandervalve/core/lease"
	"oleandervalve/io/peer"
)

const (
	// usageEvery keeps the measurements of a worker with a dozen tasks within
	// the agent's network budget at eight entries.
	usageEvery    = 5 * time.Second
	platformCalls = 10 * time.Second
)

// tasks is the agent's part in the tasks of its worker; the agent's lock guards it.
type tasks struct {
	worker      oleandervalve.WorkerID
	platform    oleandervalve.Platform
	objects     oleandervalve.ObjectStore
	runner      *job.Runner
	lease       *lease.WorkerLease
	boot        time.Time
	checkpoints map[job.Run][]byte
	capacity    oleandervalve.Resources
	residents   []peer.Resident
	usageAt     time.Time
	usageSince  time.Time
	usageEvery  time.Duration
}

// WithPlatform makes the agent run the tasks of its worker.
func WithPlatform(p oleandervalve.Platform, o oleandervalve.ObjectStore) Option {
	return func(a *Agent) { a.tasks = &tasks{platform: p, objects: o, usageEvery: usageEvery} }
}

// WithUsageEvery sets the interval at which measurements are passed on; it
// follows WithPlatform.
func WithUsageEvery(d time.Duration) Option {
	return func(a *Agent) { a.tasks.usageEvery = d }
}

// startTasks completes the part in tasks once all options are known.
func (a *Agent) startTasks() {
	t := a.tasks
	if t == nil {
		return
	}
	t.worker, t.boot, t.lease = a.worker, a.clock.Now(), lease.NewWorkerLease(lease.WorkerTTL)
	t.checkpoints = map[job.Run][]byte{}
	t.runner = job.NewRunner(a.worker, job.Incarnation(rand.Uint64()), t.lease, taskLedger{a})
}

// taskLedger lets the runner reserve resources in the agent's ledger.
type taskLedger struct{ a *Agent }

// Reserve takes resources for a run unless they exceed the free capacity.
func (l taskLedger) Reserve(r job.Run, size oleandervalve.Resources) bool {
	return l.a.ledger.Reserve(l.a.clock.Now(), r.Task, r.Epoch, size) == nil
}

// Adopt relies on the rebuilt ledger, which holds everything that runs.
func (l taskLedger) Adopt(job.Run, oleandervalve.Resources) {}

// Release returns the resources of a run; the runner itself fences its epochs.
func (l taskLedger) Release(r job.Run) { l.a.ledger.ReleaseUnfenced(r.Task, r.Epoch) }

// tickTasks does what is due; the caller holds the lock.
func (a *Agent) tickTasks(now time.Time) {
	t := a.tasks
	if t == nil {
		return
	}
	a.perform(nil, t.runner.Tick(now))
	if now.Sub(t.usageAt) >= t.usageEvery {
		t.usageAt = now
		since := t.usageSince
		a.goPlatform(func(ctx context.Context) {
			samples, err := t.platform.Usage(ctx, t.worker, since)
			if err == nil {
				a.passUsage(samples)
			}
		})
	}
}

func (a *Agent) passUsage(samples []oleandervalve.UsageSample) {
	if len(samples) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	newest := map[oleandervalve.TaskID]oleandervalve.UsageSample{}
	for _, s := range samples {
		if s.At.After(a.tasks.usageSince) {
			a.tasks.usageSince = s.At
		}
		if !s.At.Before(newest[s.Task].At) {
			newest[s.Task] = s
		}
	}
	m := &peer.Usage{}
	for _, s := range samples {
		if n, ok := newest[s.Task]; ok && n.At.Equal(s.At) {
			m.Samples = append(m.Samples, s)
			delete(newest, s.Task)
		}
	}
	a.broadcast(m)
}

func (a *Agent) broadcast(m peer.Message) {
	for _, l := range a.links {
		l.conn.TrySend(m)
	}
}

// connectTasks tells a new entry what the worker holds; the caller holds the lock.
func (a *Agent) connectTasks(now time.Time, l *link) {
	if a.tasks == nil {
		return
	}
	if m := a.residentsMessage(); m != nil {
		l.conn.TrySend(m)
	}
	a.perform(l, a.tasks.runner.Reports(now))
}

func (a *Agent) residentsMessage() *peer.Residents {
	if a.tasks.capacity == (oleandervalve.Resources{}) {
		return nil
	}
	return &peer.Residents{Capacity: a.tasks.capacity, Residents: a.tasks.residents}
}

// drainTasks refuses new tasks; the entries move those that run elsewhere.
func (a *Agent) drainTasks() {
	if a.tasks != nil {
		a.tasks.runner.Drain()
	}
}

// tasksIdle reports whether no task is left.
func (a *Agent) tasksIdle() bool { return a.tasks == nil || a.tasks.runner.Idle() }

// handleTask takes a message about tasks; the caller holds the lock.
func (a *Agent) handleTask(l *link, m peer.Message) {
	t := a.tasks
	if t == nil {
		return
	}
	now := a.clock.Now()
	switch m := m.(type) {
	case *peer.LeaseRenewed:
		t.lease.Renew(now, t.boot.Add(m.SentAfter))
	case *peer.ReserveTask:
		a.perform(l, t.runner.Reserve(now, m.Reserve))
	case *peer.ReleaseTask:
		a.perform(l, t.runner.Release(now, m.Release))
	case *peer.StartTask:
		a.perform(l, t.runner.Start(now, m.Start))
	case *peer.StopTask:
		a.perform(l, t.runner.Stop(now, m.Stop))
	case *peer.QueryTask:
		a.perform(l, t.runner.Query(now, m.Query))
	case *peer.AcknowledgeTask:
		a.perform(l, t.runner.Acknowledge(now, m.Acknowledge))
	case *peer.ResizeTask:
		if err := a.ledger.Resize(m.Run.Task, m.Run.Epoch, m.Size); err != nil {
			a.log.WithError(err).WithField("taskId", m.Run.Task).WithField("epoch", m.Run.Epoch).Info("reservation was not resized")
		}
	case *peer.ThrottleTask:
		a.perform(l, t.runner.Throttle(now, m.Throttle))
	}
}

// perform carries out the runner's actions; l is the entry that caused them.
func (a *Agent) perform(l *link, list []job.Action) {
	for _, x := range list {
		switch x := x.(type) {
		case job.Reserved:
			if l != nil {
				l.conn.TrySend(&peer.ReservedTask{Reserved: x})
			}
		case job.Report:
			a.forgetRun(x)
			a.broadcast(&peer.TaskReport{Report: x})
		case job.PlatformStatus:
			a.readStatus(x.RequestedAt)
		default:
			a.callPlatform(x)
		}
	}
}

func (a *Agent) forgetRun(r job.Report) {
	if r.Status != job.StatusRunning {
		delete(a.tasks.checkpoints, r.Run)
	}
}

// goPlatform runs a platform call beside the agent's loop.
func (a *Agent) goPlatform(call func(ctx context.Context)) {
	a.stopped.Add(1)
	go func() {
		defer a.stopped.Done()
		ctx, cancel := context.WithTimeout(a.ctx, platformCalls)
		defer cancel()
		call(ctx)
	}()
}

// after passes a result to the runner and carries out what follows.
func (a *Agent) after(result func(now time.Time) []job.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.perform(nil, result(now))
}

func (a *Agent) callPlatform(x job.Action) {
	t := a.tasks
	switch x := x.(type) {
	case job.PlatformStart:
		a.goPlatform(func(ctx context.Context) {
			o := job.CallNoEffect
			// The lease is checked once more right before the side effect.
			if a.clock.Now().Before(x.NotAfter) {
				o = outcomeOf(t.platform.Start(ctx, t.worker, x.Spec, x.Lease))
			}
			a.after(func(now time.Time) []job.Action {
				return t.runner.StartDone(now, job.Run{Task: x.Spec.Task, Epoch: x.Spec.Epoch}, o)
			})
		})
	case job.PlatformRenew:
		a.goPlatform(func(ctx context.Context) {
			if a.clock.Now().Before(x.NotAfter) {
				_ = t.platform.Renew(ctx, t.worker, x.Tasks, x.Lease)
			}
		})
	case job.PlatformThrottle:
		a.goPlatform(func(ctx context.Context) {
			if !a.clock.Now().Before(x.NotAfter) {
				return
			}
			if err := t.platform.Throttle(ctx, t.worker, x.Run.Task, x.Share); err != nil {
				a.log.WithError(err).WithField("taskId", x.Run.Task).Warn("platform did not throttle the task")
			}
		})
	case job.PlatformStop:
		a.goPlatform(func(ctx context.Context) {
			o := outcomeOf(t.platform.Stop(ctx, t.worker, x.Run.Task, x.Run.Epoch))
			a.after(func(now time.Time) []job.Action { return t.runner.StopDone(now, x.Run, o) })
		})
	case job.PlatformCheckpoint:
		a.goPlatform(func(ctx context.Context) {
			b, err := t.platform.Checkpoint(ctx, t.worker, x.Run.Task, x.Run.Epoch)
			a.after(func(now time.Time) []job.Action {
				if err == nil {
					t.checkpoints[x.Run] = b
				}
				return t.runner.CheckpointDone(now, x.Run, outcomeOf(err))
			})
		})
	case job.StoreCheckpoint:
		b := t.checkpoints[x.Run]
		a.goPlatform(func(ctx context.Context) {
			err := t.objects.Create(ctx, x.Name, b)
			var exists *oleandervalve.ExistsError
			if errors.As(err, &exists) {
				err = nil
			}
			a.after(func(now time.Time) []job.Action { return t.runner.StoreDone(now, x.Run, outcomeOf(err)) })
		})
	}
}

func outcomeOf(err error) job.Outcome {
	var unavailable *oleandervalve.UnavailableError
	var missing *oleandervalve.NotFoundError
	switch {
	case err == nil:
		return job.CallDone
	case errors.As(err, &unavailable), errors.As(err, &missing):
		return job.CallNoEffect
	}
	return job.CallUnknown
}

// readStatus reads what the platform knows of the worker.
func (a *Agent) readStatus(askedAt time.Time) {
	t := a.tasks
	a.goPlatform(func(ctx context.Context) {
		s, err := t.platform.Status(ctx, t.worker)
		if err != nil {
			a.after(t.runner.ObserveFailed)
			return
		}
		a.after(func(now time.Time) []job.Action {
			a.observeWorker(s)
			return t.runner.Observed(now, askedAt, s)
		})
	})
}

// observeWorker rebuilds the ledger after a start and tells the entries about
// a change of the worker's residents; the caller holds the lock.
func (a *Agent) observeWorker(s oleandervalve.WorkerStatus) {
	t := a.tasks
	var running []instance.Reservation
	var residents []peer.Resident
	for _, x := range s.Tasks {
		if x.State != oleandervalve.PlatformRunning {
			continue
		}
		running = append(running, instance.Reservation{Task: x.Spec.Task, Epoch: x.Spec.Epoch, Size: x.Spec.Size})
		residents = append(residents, peer.Resident{
			Run: job.Run{Task: x.Spec.Task, Epoch: x.Spec.Epoch}, Kind: x.Spec.Kind, Team: x.Spec.Team,
			Size: x.Spec.Size, LatencyCritical: x.Spec.LatencyCritical,
		})
	}
	if !a.ledger.Rebuilt() {
		a.ledger.Rebuild(s.Capacity, running)
	}
	if t.capacity == s.Capacity && sameResidents(t.residents, residents) {
		return
	}
	t.capacity, t.residents = s.Capacity, residents
	a.broadcast(a.residentsMessage())
}

func sameResidents(x, y []peer.Resident) bool {
	if len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i].Run != y[i].Run {
			return false
		}
	}
	return true
}
