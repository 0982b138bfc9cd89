package agent

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/lease"
	"oleandervalve/io/peer"
)

// recordingPlatform records the calls that start, renew and stop tasks.
type recordingPlatform struct {
	oleandervalve.Platform
	mu    sync.Mutex
	calls []string
}

func (p *recordingPlatform) record(call string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, call)
	return nil
}

func (p *recordingPlatform) Start(context.Context, oleandervalve.WorkerID, oleandervalve.TaskSpec, time.Duration) error {
	return p.record("start")
}

func (p *recordingPlatform) Renew(context.Context, oleandervalve.WorkerID, []oleandervalve.TaskID, time.Duration) error {
	return p.record("renew")
}

func (p *recordingPlatform) Stop(context.Context, oleandervalve.WorkerID, oleandervalve.TaskID, oleandervalve.Epoch) error {
	return p.record("stop")
}

func (p *recordingPlatform) Status(context.Context, oleandervalve.WorkerID) (oleandervalve.WorkerStatus, error) {
	return oleandervalve.WorkerStatus{}, &oleandervalve.UnavailableError{Service: "platform"}
}

func (p *recordingPlatform) Usage(context.Context, oleandervalve.WorkerID, time.Time) ([]oleandervalve.UsageSample, error) {
	return nil, &oleandervalve.UnavailableError{Service: "platform"}
}

// suspendableAgent is an agent without connections whose monotonic clock stands still.
type suspendableAgent struct {
	*Agent
	platform *recordingPlatform
	// uptime is guarded by the agent's lock.
	uptime time.Duration
}

// newSuspendableAgent returns an agent that holds its lease and a reservation, and the
// order to start the run.
func newSuspendableAgent(t *testing.T) (*suspendableAgent, *peer.StartTask) {
	x := &suspendableAgent{platform: &recordingPlatform{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	x.Agent = New("agent-1", nil, WithLog(logrus.NewEntry(log)), WithWorker("worker-1"), WithPlatform(x.platform, nil),
		WithClock(clockwork.NewFakeClock()), WithUptime(func() time.Duration { return x.uptime }))
	t.Cleanup(x.Close)
	size := oleandervalve.Resources{CPU: 1000, Memory: 1 << 20}
	run := job.Run{Task: "dawn/0", Epoch: 1}
	x.mu.Lock()
	defer x.mu.Unlock()
	status := oleandervalve.WorkerStatus{Worker: "worker-1", Capacity: size}
	x.applyWorkerStatus(status)
	x.tasks.runner.Observed(x.tasks.clock.Now(), x.tasks.clock.Now(), status)
	x.handleTask(nil, &peer.LeaseRenewed{})
	list := x.tasks.runner.Reserve(x.tasks.clock.Now(), job.Reserve{Run: run, ID: "r", Size: size})
	reserved := list[len(list)-1].(job.Reserved)
	is.New(t).True(reserved.Granted)
	return x, &peer.StartTask{Start: job.Start{
		Spec: oleandervalve.TaskSpec{Task: run.Task, Epoch: run.Epoch, Size: size}, Incarnation: reserved.Incarnation, ID: "r",
	}}
}

// do runs f after a suspension.
func (x *suspendableAgent) do(suspended time.Duration, f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.uptime += suspended
	f()
}

// calls stops the agent and returns the calls that it made.
func (x *suspendableAgent) calls() []string {
	x.Close()
	return x.platform.calls
}

// waitRunning waits until the agent knows that its run has started.
func (x *suspendableAgent) waitRunning() {
	for running := false; !running; time.Sleep(time.Millisecond) {
		x.do(0, func() { running = len(x.tasks.runner.Reports(x.tasks.clock.Now())) > 0 })
	}
}

// Guards against a task that starts on an instance which was suspended, while another worker may run it.
func TestNoStartAfterSuspensionBeyondLease(t *testing.T) {
	for _, tt := range []struct {
		suspended time.Duration
		want      []string
	}{
		{5 * time.Second, []string{"start"}},
		{15 * time.Second, []string{"start"}},
		{5 * time.Minute, nil},
		{15 * time.Minute, nil},
	} {
		t.Run(tt.suspended.String(), func(t *testing.T) {
			x, order := newSuspendableAgent(t)
			x.do(tt.suspended, func() { x.handleTask(nil, order) })
			is.New(t).Equal(x.calls(), tt.want)
		})
	}
}

// Guards against a task that goes on after a suspension, while another worker may run it.
func TestRunningTaskStopsAfterSuspensionBeyondLease(t *testing.T) {
	for _, tt := range []struct {
		suspended time.Duration
		want      string
	}{
		{15 * time.Second, "renew"},
		{lease.WorkerTTL - time.Second, "renew"},
		{15 * time.Minute, "stop"},
	} {
		t.Run(tt.suspended.String(), func(t *testing.T) {
			is := is.New(t)
			x, order := newSuspendableAgent(t)
			x.do(0, func() { x.handleTask(nil, order) })
			x.waitRunning()
			x.do(tt.suspended, func() { x.tickTasks(x.clock.Now()) })
			is.Equal(x.calls(), []string{"start", tt.want})
		})
	}
}
