package leader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

// countWaiting asks the leader for the number of waiting jobs.
func countWaiting(l *Leader) peer.JobReply {
	answer := make(chan peer.JobReply, 1)
	l.Call(peer.JobCall{ID: 1, Kind: peer.CallCountWaiting, Queue: work.Queue{Name: "q"}}, func(r peer.JobReply) { answer <- r })
	return <-answer
}

// serveAgents returns the address on which the leader accepts agents.
func serveAgents(t *testing.T, l *Leader) string {
	t.Helper()
	meter := peer.NewMeter(tally.NoopScope)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, j, err := peer.AcceptDispatch(w, r, meter); err == nil {
			l.Serve(c, j)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a leader that leaves jobs whose start orders wait at an agent out of the number
// of waiting jobs, and against a new leader that gives a number before it knows what runs.
func TestLeaderCountsJobsWhoseStartsAreDelayed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	x := newFakeTable()
	first, _ := startLeader(t, x)
	a := joinAgent(t, serveAgents(t, first), 1)
	receive := func() peer.Message {
		m, err := a.conn.Receive(ctx)
		is.NoErr(err)
		return m
	}
	ping := func(p peer.Ping) {
		is.NoErr(a.conn.Send(&p))
		for {
			if m, ok := receive().(*peer.Pong); ok && m.Sequence == p.Sequence {
				return
			}
		}
	}
	is.Equal(submit(first).Verdict, dispatch.Accepted)
	var s *peer.StartRun
	for s == nil {
		s, _ = receive().(*peer.StartRun)
	}
	ping(peer.Ping{Sequence: 1})
	is.Equal(countWaiting(first), peer.JobReply{ID: 1, Count: 1}) // nothing is known of the start
	ping(peer.Ping{Sequence: 2, ListsDelayedStarts: true, DelayedStarts: []dispatch.DelayedStart{{Task: s.Task, Run: s.Run}}})
	is.Equal(countWaiting(first), peer.JobReply{ID: 1, Count: 1})
	ping(peer.Ping{Sequence: 3})
	is.Equal(countWaiting(first), peer.JobReply{ID: 1, Count: 1}) // as listed before
	ping(peer.Ping{Sequence: 4, ListsDelayedStarts: true})
	is.Equal(countWaiting(first), peer.JobReply{ID: 1})

	rows, err := x.Get(ctx, Key)
	is.NoErr(err)
	next, err := Acquire(ctx, testOptions(x), rows[0], Row{Entry: "e-2", Process: "p"})
	is.NoErr(err)
	go func() { _ = next.Run(ctx) }()
	<-next.ready
	is.Equal(countWaiting(next), peer.JobReply{ID: 1, Verdict: dispatch.NotRun, Reason: "takeover", RetryAfter: minRetryAfter})
	joinAgent(t, serveAgents(t, next), 1) // it lists no run
	for r := countWaiting(next); r != (peer.JobReply{ID: 1, Count: 1}); r = countWaiting(next) {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
}
