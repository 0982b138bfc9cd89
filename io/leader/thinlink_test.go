package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

const (
	// thinLinkRate is the rate of the thinnest links of the users, in bytes per second.
	thinLinkRate = 250_000
	// startRate is the rate of starts on a day of the users at a small size, per second.
	startRate = 95
	// thinFleet is the number of executors of such a day.
	thinFleet = 15
)

// fakeAgent is an agent whose executor completes each run at once.
type fakeAgent struct {
	conn     *peer.Conn
	status   oleandervalve.ExecutorStatus
	payloads *peer.PayloadCache
	// wrong counts the start orders with another payload than that of the job.
	wrong, started int
}

func (a *fakeAgent) run(payloadOf func(oleandervalve.JobID) string, done func()) {
	for {
		m, err := a.conn.Receive(context.Background())
		if err != nil {
			return
		}
		s, ok := m.(*peer.StartRun)
		if !ok {
			continue
		}
		if err := a.payloads.Complete(s); err != nil || s.Payload != payloadOf(s.Task.Job) {
			a.wrong++
		}
		a.started++
		_ = a.conn.Send(&peer.RunsEnded{Incarnation: a.status.Incarnation, Ends: []oleandervalve.EndedTask{{Number: uint64(a.started), Task: s.Task, Run: s.Run, How: oleandervalve.EndDone}}})
		done()
	}
}

// joinAgent connects an agent with an executor of 64 processors to the leader.
func joinAgent(t *testing.T, address string, n int) *fakeAgent {
	t.Helper()
	id := oleandervalve.AgentID(fmt.Sprintf("side-%02d", n))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := peer.DialDispatch(ctx, address, peer.Join{Agent: id, CachesPayloads: true}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Receive(ctx); err != nil {
		t.Fatal(err)
	}
	a := &fakeAgent{conn: c, payloads: peer.NewPayloadCache(), status: oleandervalve.ExecutorStatus{
		Service: "s", Incarnation: oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("i-" + id), StartedAt: 1},
		State: oleandervalve.ExecutorReady, Capacity: oleandervalve.Resources{CPU: 64000, Memory: 250_000_000_000},
	}}
	if err := c.Send(&peer.ExecutorInventory{Status: a.status}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return a
}

// Guards against a leader whose link can't carry the start orders of an ordinary load: it
// sent the payload of the job with each task, 1.8 kB a start, so that the heartbeats waited
// behind it and a leader behind 2 Mbit/s lost its leadership again and again on a day
// without any fault. Start orders may take half of such a link.
func TestStartOrdersFitThinLink(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	l, _ := startLeader(t, newFakeTable())
	meter := peer.NewMeter(scope)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, j, err := peer.AcceptDispatch(w, r, meter); err == nil {
			l.Serve(c, j)
		}
	}))
	defer server.Close()

	const jobs, tasks = 24, 40
	r := rand.New(rand.NewPCG(1, 5))
	payloads := map[oleandervalve.JobID]string{}
	for n := range jobs {
		b := make([]byte, 2400)
		for i := range b {
			b[i] = 'a' + byte(r.IntN(16))
		}
		payloads[oleandervalve.JobID(fmt.Sprintf("job%02d", n))] = string(b)
	}
	var ends sync.WaitGroup
	ends.Add(jobs * tasks)
	var agents []*fakeAgent
	for n := range thinFleet {
		a := joinAgent(t, server.Listener.Addr().String(), n)
		agents = append(agents, a)
		go a.run(func(j oleandervalve.JobID) string { return payloads[j] }, ends.Done)
	}
	for job, payload := range payloads {
		l.Call(peer.JobCall{
			Kind: peer.CallSubmit, Job: job, Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 1},
			Spec: work.Spec{Payload: payload, Steps: []work.Step{{Count: tasks, Estimate: time.Second, Demand: oleandervalve.Resources{CPU: 1000}}}},
		},
			func(r peer.JobReply) {
				if r.Verdict != dispatch.Accepted {
					t.Errorf("%s: verdict %v", job, r.Verdict)
				}
			})
	}
	ends.Wait()
	started := 0
	for _, a := range agents {
		a.conn.Close()
		is.Equal(a.wrong, 0)
		started += a.started
	}
	is.Equal(started, jobs*tasks)
	sent := scope.Snapshot().Counters()["peer_bytes+direction=sent,type=startRun"].Value()
	t.Logf("%d bytes a start", sent/int64(started))
	is.True(sent/int64(started) <= thinLinkRate/2/startRate)
}
