package executor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/io/peer"
)

// fakeExecutor answers polls with empty lists.
type fakeExecutor struct {
	oleandervalve.ExecutorClient
	onPoll func()
}

func (x *fakeExecutor) Poll(ctx context.Context, _ oleandervalve.ExecutorID, p oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
	if x.onPoll != nil {
		x.onPoll()
	}
	if p.Wait > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(p.Wait):
		}
	}
	return oleandervalve.PollResult{Clock: oleandervalve.ExecutorTime(time.Second)}, nil
}

// statusWith returns the status of an executor with a number of processors.
func statusWith(cores, sequence int) oleandervalve.ExecutorStatus {
	return oleandervalve.ExecutorStatus{
		Incarnation: oleandervalve.Incarnation{ID: "x-1", StartedAt: 1}, Service: "press", State: oleandervalve.ExecutorReady,
		Capacity: oleandervalve.Resources{CPU: oleandervalve.Millicores(1000 * cores), Memory: 64 << 30}, Sequence: uint64(sequence),
	}
}

// leadAgent runs an agent against a leader that admits it, answers its pings and passes its
// other messages to received.
func leadAgent(t *testing.T, a *Agent, received func(*peer.Conn, peer.Message)) {
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
			if p, ok := m.(*peer.Ping); ok {
				c.TrySend(&peer.Pong{Sequence: p.Sequence})
				continue
			}
			received(c, m)
		}
	}))
	a.options.LeaderAddress = func(context.Context) (string, error) { return strings.TrimPrefix(server.URL, "http://"), nil }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); server.Close() })
	go a.Run(ctx)
}

// Guards against a leader that keeps an executor's old capacity for good, because the new
// one was announced while the session was being set up.
func TestCapacityAnnouncedDuringSessionSetUp(t *testing.T) {
	is := is.New(t)
	x := &fakeExecutor{}
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	shrunk := false
	x.onPoll = func() {
		if !shrunk {
			shrunk = true
			is.NoErr(a.StatusAnnounced(statusWith(4, 2)))
		}
	}
	capacities := make(chan oleandervalve.Millicores, 10)
	leadAgent(t, a, func(_ *peer.Conn, m peer.Message) {
		switch m := m.(type) {
		case *peer.ExecutorInventory:
			capacities <- m.Status.Capacity.CPU
		case *peer.ExecutorChange:
			capacities <- m.Status.Capacity.CPU
		}
	})
	is.Equal(<-capacities, oleandervalve.Millicores(16000))
	select {
	case c := <-capacities:
		is.Equal(c, oleandervalve.Millicores(4000))
	case <-time.After(5 * time.Second):
		t.Fatal("the leader is not told of the new capacity")
	}
}
