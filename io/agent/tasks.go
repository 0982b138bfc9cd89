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
	// defaultUsageInterval keeps the usage samples of a worker with a dozen tasks
	// within the agent's network budget at eight entries.
	defaultUsageInterval = 5 * time.Second
	platformCallTimeout  = 10 * time.Second
)

// taskState holds what the agent knows of its worker and the worker's tasks; the
// agent's lock guards it.
type taskState struct {
	worker   oleandervalve.WorkerID
	platform oleandervalve.Platform
	objects  oleandervalve.ObjectStore
	runner   *job.Runner
	lease    *lease.WorkerLease
	// clock measures the lease and everything that depends on it; the runner knows no other time.
	clock         *oleandervalve.LeaseClock
	startedAt     time.Time
	checkpoints   map[job.Run][]byte
	capacity      oleandervalve.Resources
	residents     []peer.Resident
	usageReadAt   time.Time
	lastSampleAt  time.Time
	usageInterval time.Duration
}

// WithPlatform makes the agent run the tasks of its worker.
func WithPlatform(p oleandervalve.Platform, o oleandervalve.ObjectStore) Option {
	return func(a *Agent) { a.tasks = &taskState{platform: p, objects: o, usageInterval: defaultUsageInterval} }
}

// WithUsageInterval sets the interval at which the agent sends usage samples to
// the entries. It must come after WithPlatform.
func WithUsageInterval(d time.Duration) Option {
	return func(a *Agent) { a.tasks.usageInterval = d }
}

// initTasks completes the task state after all options are applied.
func (a *Agent) initTasks() {
	t := a.tasks
	if t == nil {
		return
	}
	t.clock = oleandervalve.NewLeaseClock(a.clock, a.uptime)
	t.worker, t.startedAt, t.lease = a.worker, t.clock.Now(), lease.NewWorkerLease(lease.WorkerTTL)
	t.checkpoints = map[job.Run][]byte{}
	t.runner = job.NewRunner(a.worker, job.Incarnation(rand.Uint64()), t.lease, taskLedger{a})
}

// taskLedger implements the resource ledger of the runner with the agent's ledger.
type taskLedger struct{ a *Agent }

// Reserve reserves resources for a run if they fit in the free capacity.
func (l taskLedger) Reserve(r job.Run, size oleandervalve.Resources) bool {
	return l.a.ledger.Reserve(l.a.clock.Now(), r.Task, r.Epoch, size) == nil
}

// Adopt does nothing, because Rebuild has already reserved resources for
// everything that runs.
func (l taskLedger) Adopt(job.Run, oleandervalve.Resources) {}

// Release frees the resources of a run; the runner fences its epochs.
func (l taskLedger) Release(r job.Run) { l.a.ledger.ReleaseUnfenced(r.Task, r.Epoch) }

// tickTasks runs the runner's expired timers and reads usage samples at each
// usage interval; the caller holds the lock.
func (a *Agent) tickTasks(now time.Time) {
	t := a.tasks
	if t == nil {
		return
	}
	a.runActions(nil, t.runner.Tick(t.clock.Now()))
	if now.Sub(t.usageReadAt) >= t.usageInterval {
		t.usageReadAt = now
		since := t.lastSampleAt
		a.runInBackground(func(ctx context.Context) {
			samples, err := t.platform.Usage(ctx, t.worker, since)
			if err == nil {
				a.sendUsage(samples)
			}
		})
	}
}

// sendUsage sends the newest sample of each task to the entries.
func (a *Agent) sendUsage(samples []oleandervalve.UsageSample) {
	if len(samples) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	newest := map[oleandervalve.TaskID]oleandervalve.UsageSample{}
	for _, s := range samples {
		if s.At.After(a.tasks.lastSampleAt) {
			a.tasks.lastSampleAt = s.At
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

// sendTaskState sends the worker's residents and the state of its runs to a new
// connection; the caller holds the lock.
func (a *Agent) sendTaskState(l *link) {
	if a.tasks == nil {
		return
	}
	if m := a.residentsMessage(); m != nil {
		l.conn.TrySend(m)
	}
	a.runActions(l, a.tasks.runner.Reports(a.tasks.clock.Now()))
}

// residentsMessage returns nil until the platform has reported the capacity.
func (a *Agent) residentsMessage() *peer.Residents {
	if a.tasks.capacity == (oleandervalve.Resources{}) {
		return nil
	}
	return &peer.Residents{Capacity: a.tasks.capacity, Residents: a.tasks.residents}
}

// drainTasks refuses new tasks; the entries migrate the running ones to other workers.
func (a *Agent) drainTasks() {
	if a.tasks != nil {
		a.tasks.runner.Drain()
	}
}

// tasksIdle reports whether the worker has no tasks left.
func (a *Agent) tasksIdle() bool { return a.tasks == nil || a.tasks.runner.Idle() }

// handleTask handles a message about tasks; the caller holds the lock.
func (a *Agent) handleTask(l *link, m peer.Message) {
	t := a.tasks
	if t == nil {
		return
	}
	now := t.clock.Now()
	switch m := m.(type) {
	case *peer.LeaseRenewed:
		t.lease.Renew(now, t.startedAt.Add(m.SentAfter))
	case *peer.ReserveTask:
		a.runActions(l, t.runner.Reserve(now, m.Reserve))
	case *peer.ReleaseTask:
		a.runActions(l, t.runner.Release(now, m.Release))
	case *peer.StartTask:
		a.runActions(l, t.runner.Start(now, m.Start))
	case *peer.StopTask:
		a.runActions(l, t.runner.Stop(now, m.Stop))
	case *peer.QueryTask:
		a.runActions(l, t.runner.Query(now, m.Query))
	case *peer.AcknowledgeTask:
		a.runActions(l, t.runner.Acknowledge(now, m.Acknowledge))
	case *peer.ResizeTask:
		if err := a.ledger.Resize(m.Run.Task, m.Run.Epoch, m.Size); err != nil {
			a.log.WithError(err).WithField("taskId", m.Run.Task).WithField("epoch", m.Run.Epoch).Info("reservation was not resized")
		}
	case *peer.ThrottleTask:
		a.runActions(l, t.runner.Throttle(now, m.Throttle))
	}
}

// runActions executes the runner's actions. l is the connection whose message
// caused them, or nil. The caller holds the lock.
func (a *Agent) runActions(l *link, list []job.Action) {
	for _, x := range list {
		switch x := x.(type) {
		case job.Reserved:
			if l != nil {
				l.conn.TrySend(&peer.ReservedTask{Reserved: x})
			}
		case job.Report:
			a.discardCheckpoint(x)
			a.broadcast(&peer.TaskReport{Report: x})
		case job.PlatformStatus:
			a.readPlatformStatus(x.RequestedAt)
		default:
			a.startPlatformCall(x)
		}
	}
}

// discardCheckpoint frees the checkpoint of a run that is no longer running.
func (a *Agent) discardCheckpoint(r job.Report) {
	if r.Status != job.StatusRunning {
		delete(a.tasks.checkpoints, r.Run)
	}
}

// runInBackground runs a platform call in its own goroutine, so that it blocks
// neither the agent's loop nor its connections.
func (a *Agent) runInBackground(call func(ctx context.Context)) {
	a.goroutines.Add(1)
	go func() {
		defer a.goroutines.Done()
		ctx, cancel := context.WithTimeout(a.ctx, platformCallTimeout)
		defer cancel()
		call(ctx)
	}()
}

// handleResult passes the result of a call to the runner and executes the
// actions that follow.
func (a *Agent) handleResult(result func(now time.Time) []job.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runActions(nil, result(a.tasks.clock.Now()))
}

// startPermitted reports whether a start call may still be sent.
func (a *Agent) startPermitted(c job.PlatformStart) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tasks.runner.StartPermitted(a.tasks.clock.Now(), c)
}

// startPlatformCall starts the platform or object store call of an action.
func (a *Agent) startPlatformCall(x job.Action) {
	t := a.tasks
	switch x := x.(type) {
	case job.PlatformStart:
		a.runInBackground(func(ctx context.Context) {
			o := job.CallNoEffect
			if a.startPermitted(x) {
				o = outcomeOf(t.platform.Start(ctx, t.worker, x.Spec, x.Lease))
			}
			a.handleResult(func(now time.Time) []job.Action {
				return t.runner.StartDone(now, job.Run{Task: x.Spec.Task, Epoch: x.Spec.Epoch}, o)
			})
		})
	case job.PlatformRenew:
		a.runInBackground(func(ctx context.Context) {
			if t.clock.Now().Before(x.NotAfter) {
				_ = t.platform.Renew(ctx, t.worker, x.Tasks, x.Lease)
			}
		})
	case job.PlatformThrottle:
		a.runInBackground(func(ctx context.Context) {
			if !t.clock.Now().Before(x.NotAfter) {
				return
			}
			if err := t.platform.Throttle(ctx, t.worker, x.Run.Task, x.Share); err != nil {
				a.log.WithError(err).WithField("taskId", x.Run.Task).Warn("platform did not throttle the task")
			}
		})
	case job.PlatformStop:
		a.runInBackground(func(ctx context.Context) {
			o := outcomeOf(t.platform.Stop(ctx, t.worker, x.Run.Task, x.Run.Epoch))
			a.handleResult(func(now time.Time) []job.Action { return t.runner.StopDone(now, x.Run, o) })
		})
	case job.PlatformCheckpoint:
		a.runInBackground(func(ctx context.Context) {
			b, err := t.platform.Checkpoint(ctx, t.worker, x.Run.Task, x.Run.Epoch)
			a.handleResult(func(now time.Time) []job.Action {
				if err == nil {
					t.checkpoints[x.Run] = b
				}
				return t.runner.CheckpointDone(now, x.Run, outcomeOf(err))
			})
		})
	case job.StoreCheckpoint:
		b := t.checkpoints[x.Run]
		a.runInBackground(func(ctx context.Context) {
			err := t.objects.Create(ctx, x.Name, b)
			var exists *oleandervalve.ExistsError
			if errors.As(err, &exists) {
				err = nil
			}
			a.handleResult(func(now time.Time) []job.Action { return t.runner.StoreDone(now, x.Run, outcomeOf(err)) })
		})
	}
}

// outcomeOf classifies the error of a call by whether the call had an effect.
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

// readPlatformStatus reads the worker's status from the platform.
func (a *Agent) readPlatformStatus(requestedAt time.Time) {
	t := a.tasks
	a.runInBackground(func(ctx context.Context) {
		s, err := t.platform.Status(ctx, t.worker)
		if err != nil {
			a.handleResult(t.runner.ObserveFailed)
			return
		}
		a.handleResult(func(now time.Time) []job.Action {
			a.applyWorkerStatus(s)
			return t.runner.Observed(now, requestedAt, s)
		})
	})
}

// applyWorkerStatus rebuilds the ledger after a start, and notifies the entries
// if the worker's capacity or residents have changed; the caller holds the lock.
func (a *Agent) applyWorkerStatus(s oleandervalve.WorkerStatus) {
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
