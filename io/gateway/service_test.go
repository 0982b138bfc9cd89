package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
	"oleandervalve/io/leader"
	"oleandervalve/io/peer"
)

// fakeLeader answers every request with one reply and calls then afterwards.
type fakeLeader struct {
	reply peer.JobReply
	then  func()
	calls int
}

func (f *fakeLeader) Call(_ peer.JobCall, answer func(peer.JobReply)) {
	f.calls++
	answer(f.reply)
	if f.then != nil {
		f.then()
	}
}

func newGateway() *Gateway {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Clock: oleandervalve.SystemClock(), Log: logrus.NewEntry(log), Scope: tally.NoopScope})
}

func (g *Gateway) connect(u upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setUpstream(u)
}

// Guards against a caller that hears of a change of leader: a request that was
// lost with the old leader is asked again of the new one.
func TestRequestLostWithItsLeaderIsAskedAgain(t *testing.T) {
	is := is.New(t)
	g := newGateway()
	next := &fakeLeader{reply: peer.JobReply{Verdict: dispatch.Accepted}}
	first := &fakeLeader{reply: peer.JobReply{Verdict: dispatch.Unknown}, then: func() { g.connect(nil); g.connect(next) }}
	g.connect(first)
	is.NoErr(g.Submit(context.Background(), work.Queue{Name: "q"}, "a", work.Spec{}))
	is.Equal(first.calls, 1)
	is.Equal(next.calls, 1)
}

// Guards against a refusal that claims that a job was not accepted although the
// leader that had it is gone without an answer.
func TestRequestLostWithoutANextLeaderIsUnknown(t *testing.T) {
	is := is.New(t)
	g := newGateway()
	g.connect(&fakeLeader{reply: peer.JobReply{Verdict: dispatch.Unknown}, then: func() { g.connect(nil) }})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var unknown *oleandervalve.UnknownOutcomeError
	is.True(errors.As(g.Submit(ctx, work.Queue{Name: "q"}, "a", work.Spec{}), &unknown))
}

// Guards against a request that is held to its deadline while no entry leads.
func TestRequestWithoutALeaderIsRefusedSoon(t *testing.T) {
	is := is.New(t)
	g := newGateway()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var refused *oleandervalve.NotRunError
	is.True(errors.As(g.Submit(ctx, work.Queue{Name: "q"}, "a", work.Spec{}), &refused))
	is.True(refused.RetryAfter > 0)
	is.NoErr(ctx.Err())
}

// Guards against a leader that is lost in silence for longer than callers
// wait, and against the replacement of one that only renews its row slowly.
func TestSilentLeaderIsReplacedWhileCallersWait(t *testing.T) {
	is := is.New(t)
	const callersWait = 3 * time.Second // the deadline of the users' requests
	is.True(leader.EntryHeartbeatTimeout+leaseTime <= callersWait)
	is.True(leaseTime >= 2*leader.RenewInterval)
	is.True(leader.EntryHeartbeatTimeout >= 2*pingEvery)
}
