package executor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// cutLeader admits one agent and answers its pings. cut makes its last proof of leadership
// older, as if it had been cut off from the table, and reconnect gives it a new proof.
type cutLeader struct {
	conns chan *peer.Conn
	// answered gets a value for each answered ping.
	answered chan struct{}
	voids    chan dispatch.NeverStarted

	mu sync.Mutex
	// passed is how far cut has advanced the uptime, and cutAt since when the leader has
	// been cut off; zero if it is not.
	passed time.Duration
	cutAt  oleandervalve.Instant
	began  time.Time
}

func newCutLeader() *cutLeader {
	return &cutLeader{
		conns: make(chan *peer.Conn, 1), answered: make(chan struct{}, 100), voids: make(chan dispatch.NeverStarted, 10), began: time.Now(),
	}
}

// uptime is the uptime of the instances of the leader and the agent.
func (l *cutLeader) uptime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.began) + l.passed
}

func (l *cutLeader) now() oleandervalve.Instant {
	return oleandervalve.ReadInstant(oleandervalve.SystemClock(), l.uptime)
}

// cut lets a time pass in which the leader is cut off from the table.
func (l *cutLeader) cut(d time.Duration) {
	at := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutAt, l.passed = at, l.passed+d
}

func (l *cutLeader) reconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutAt = oleandervalve.Instant{}
}

func (l *cutLeader) proofAge() time.Duration {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cutAt.IsZero() {
		return 0
	}
	return now.Sub(l.cutAt)
}

// lead runs an agent against the leader.
func (l *cutLeader) lead(t *testing.T, a *Agent) {
	t.Helper()
	address := l.listen(t)
	a.options.LeaderAddress = func(context.Context) (string, error) { return address, nil }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go a.Run(ctx)
}

// listen returns the address on which the leader admits agents.
func (l *cutLeader) listen(t *testing.T) string {
	t.Helper()
	meter := peer.NewMeter(tally.NoopScope)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := peer.AcceptDispatch(w, r, meter)
		if err != nil {
			return
		}
		defer c.Close()
		c.TrySend(&peer.Admit{Token: 1})
		for {
			m, err := c.Receive(r.Context())
			if err != nil {
				return
			}
			switch m := m.(type) {
			case *peer.Ping:
				c.TrySend(&peer.Pong{Sequence: m.Sequence, ProofAge: l.proofAge()})
				l.answered <- struct{}{}
			case *peer.ExecutorInventory:
				l.conns <- c
			case *peer.RunNeverStarted:
				l.voids <- m.NeverStarted
			}
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// awaitProof waits until the session has a proof of leadership.
func (s *session) awaitProof() {
	for {
		s.mu.Lock()
		proved := !s.proofAt.IsZero()
		s.mu.Unlock()
		if proved {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a task of a cancelled job that starts because its order waited at an agent
// whose leader had been cut off from the table and replaced, while the next leader had
// acknowledged the cancellation.
func TestWaitingStartIsNotSentWithOldProof(t *testing.T) {
	waiting := runKey{oleandervalve.TaskName{Job: "waiting"}, 1}
	for _, tt := range []struct {
		name string
		// cut is how long the leader is cut off while the order waits.
		cut     time.Duration
		stopped bool
	}{
		{"for longer than a cancelled job may start tasks", 3 * time.Second, false},
		{"until shortly before the end of the lease", 6900 * time.Millisecond, false},
		{"and stops the run", 3 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			started := make(chan oleandervalve.TaskName, 10)
			x := &fakeExecutor{start: func(o oleandervalve.StartOrder) error {
				started <- o.Task
				return nil
			}}
			l := newCutLeader()
			a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Uptime: l.uptime, Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
			is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
			l.lead(t, a)
			conn := <-l.conns
			s := a.awaitSession()
			s.awaitProof()
			for range maxParallelStarts {
				s.startSlots <- struct{}{}
			}
			conn.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: s.status.Incarnation, Task: waiting.task, Run: waiting.run, Hints: dispatch.RunHints{CPU: 2000}}})
			for !s.isPending(waiting) {
				time.Sleep(time.Millisecond)
			}
			l.cut(tt.cut)
			s.releaseSlots()
			for len(l.answered) > 0 {
				<-l.answered
			}
			// The agent learns twice that the leader has no newer proof.
			for range 2 {
				select {
				case <-l.answered:
				case <-started:
					t.Fatal("the start order is sent although its leader may have been replaced")
				case <-time.After(10 * time.Second):
					t.Fatal("the agent sends no pings")
				}
			}
			if tt.stopped {
				conn.TrySend(&peer.StopRun{Stop: dispatch.Stop{Task: waiting.task, Run: waiting.run}})
				select {
				case n := <-l.voids:
					is.Equal(n, dispatch.NeverStarted{Task: waiting.task, Run: waiting.run, Reason: oleandervalve.RefusedOld})
				case <-started:
					t.Fatal("the start order is sent although its leader may have been replaced")
				case <-time.After(10 * time.Second):
					t.Fatal("the leader is not told that the run never starts")
				}
				return
			}
			is.Equal(len(started), 0)
			l.reconnect()
			select {
			case task := <-started:
				is.Equal(task, waiting.task)
			case n := <-l.voids:
				t.Fatalf("the order is given back although the leader has a new proof: %v", n)
			case <-time.After(10 * time.Second):
				t.Fatal("the order is not sent after a new proof")
			}
		})
	}
}

// Guards against an agent that stays with a leader which is cut off from the table and has been
// replaced, so that its executor ends all runs with the lease and gets no work.
func TestAgentLeavesReplacedLeader(t *testing.T) {
	is := is.New(t)
	first, second := newCutLeader(), newCutLeader()
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Uptime: first.uptime, Executor: &fakeExecutor{}, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	firstAddress, secondAddress := first.listen(t), second.listen(t)
	var replaced atomic.Bool
	a.options.LeaderAddress = func(context.Context) (string, error) {
		if replaced.Load() {
			return secondAddress, nil
		}
		return firstAddress, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go a.Run(ctx)
	<-first.conns
	a.awaitSession().awaitProof()
	replaced.Store(true)
	first.cut(4 * time.Second)
	select {
	case <-second.conns:
	case <-time.After(10 * time.Second):
		t.Fatal("the agent stays with the replaced leader")
	}
}
