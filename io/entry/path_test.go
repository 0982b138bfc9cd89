package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/io/agent"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/entry"
	"oleandervalve/io/peer"
	"oleandervalve/io/standin"
)

// testbed is an entry, an agent and one endpoint, connected over real sockets.
type testbed struct {
	is       *is.I
	entry    *entry.Entry
	server   *standin.Server
	agent    *agent.Agent
	endpoint *standin.Endpoint
	books    *standin.ExecutionLog
	url      string
}

func discardLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func (p *testbed) startEntry(address string) {
	p.entry = entry.New("entry-1", entry.WithLog(discardLog()))
	m := http.NewServeMux()
	m.Handle(peer.Path, p.entry.PeerHandler())
	m.Handle("/call/", callerhttp.Handler(p.entry, callerhttp.TrustedHeaders{}))
	var err error
	p.server, err = standin.Serve(address, m)
	p.is.NoErr(err)
}

func newTestbed(t *testing.T, slots int, service time.Duration) *testbed {
	p := &testbed{is: is.New(t), books: standin.NewExecutionLog()}
	p.startEntry("127.0.0.1:0")
	p.url = p.server.URL
	p.agent = agent.New("agent-1", []string{p.url + peer.Path}, agent.WithLog(discardLog()))
	announce, err := standin.Serve("127.0.0.1:0", p.agent.AnnounceHandler())
	p.is.NoErr(err)
	p.endpoint, err = standin.StartEndpoint(standin.EndpointConfig{
		Announcement: oleandervalve.Announcement{Endpoint: "executor-1", Service: "formaro", Slots: slots, Connections: 64},
		AgentURL:     announce.URL, ServiceTime: service, Executions: p.books,
	})
	p.is.NoErr(err)
	p.waitSlots(slots)
	t.Cleanup(func() {
		p.endpoint.Close()
		p.agent.Close()
		announce.Close()
		p.server.Close()
		p.entry.Close()
	})
	return p
}

func (p *testbed) waitSlots(slots int) {
	for p.entry.Slots("formaro") != slots {
		time.Sleep(5 * time.Millisecond)
	}
}

// reply is the result of one request as the caller sees it.
type reply struct {
	outcome string
	body    string
	err     error
}

func (p *testbed) call(ctx context.Context, method, query, id, timeout string) reply {
	q, err := http.NewRequestWithContext(ctx, method, p.url+"/call/formaro/x?"+query, nil)
	p.is.NoErr(err)
	q.Header.Set(standin.HeaderTestID, id)
	q.Header.Set(callerhttp.HeaderTimeout, timeout)
	q.Header.Set("X-Request-Id", "same")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return reply{outcome: r.Header.Get(callerhttp.HeaderOutcome), body: string(b), err: err}
}

// waitStarted waits until the endpoint has started a request.
func (p *testbed) waitStarted(id string) {
	for p.books.Runs(id) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a truncated response of the endpoint, small or large, that the
// caller takes for a complete one, and against a second run of the request.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	for name, c := range map[string]struct {
		fault standin.EndpointFault
		query string
	}{
		"no response":                  {standin.EndpointFault{DropResponse: true}, ""},
		"truncated in the first chunk": {standin.EndpointFault{TruncateAfter: 8 << 10}, "size=100000"},
		"truncated in the middle":      {standin.EndpointFault{TruncateAfter: 512 << 10}, "size=1000000"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestbed(t, 2, 0)
			p.endpoint.SetFault(c.fault)
			r := p.call(context.Background(), http.MethodPost, c.query, "cut", "20000")
			p.is.True(r.err != nil || r.outcome == "unknown") // a truncated response was taken for a complete one
			p.is.Equal(p.books.Runs("cut"), 1)
		})
	}
}

// Guards against a request that brings down each endpoint that executes it and is sent to
// one after the other because it may be repeated.
func TestRequestThatEndpointsNeverAnswerIsNotSentToAll(t *testing.T) {
	p := newTestbed(t, 2, 0)
	p.endpoint.SetFault(standin.EndpointFault{DropResponse: true})
	r := p.call(context.Background(), http.MethodGet, "", "unanswered", "20000")
	p.is.NoErr(r.err)
	p.is.Equal(r.outcome, "unknown")
	p.is.Equal(p.books.Runs("unanswered"), 2)
}

// Guards against responses that are mixed up on one connection, and against a
// large response that blocks small ones.
func TestLargeResponseDoesNotBlockSmallOnes(t *testing.T) {
	p := newTestbed(t, 8, 0)
	const size = 24 << 20
	large := make(chan reply, 1)
	go func() {
		large <- p.call(context.Background(), http.MethodGet, fmt.Sprintf("size=%d", size), "large", "60000")
	}()
	p.waitStarted("large")
	for i := range 50 {
		id := fmt.Sprintf("small-%d", i)
		r := p.call(context.Background(), http.MethodPost, "", id, "60000")
		p.is.NoErr(r.err)
		p.is.True(strings.HasPrefix(r.body, standin.ResponsePrefix(id)+" ")) // got the response to another request
	}
	r := <-large
	p.is.NoErr(r.err)
	p.is.Equal(len(r.body), size)
}

// Guards against responses that reach the wrong caller when several callers send
// the same request ID.
func TestSameRequestIDFromTwoCallers(t *testing.T) {
	p := newTestbed(t, 4, 20*time.Millisecond)
	var wait sync.WaitGroup
	replies := make([]reply, 8)
	for i := range replies {
		wait.Add(1)
		go func() {
			defer wait.Done()
			replies[i] = p.call(context.Background(), http.MethodPost, "", fmt.Sprintf("caller-%d", i), "60000")
		}()
	}
	wait.Wait()
	for i, r := range replies {
		id := fmt.Sprintf("caller-%d", i)
		p.is.True(strings.HasPrefix(r.body, standin.ResponsePrefix(id)+" ")) // got the response to another request
		p.is.Equal(p.books.Runs(id), 1)
	}
}

// Guards against the outcome "notRun" for a request that runs or "unknown" for
// one that only waited, and against slots that stay allocated to requests whose
// callers have disconnected.
func TestDeadlineAndDisconnectedCaller(t *testing.T) {
	p := newTestbed(t, 1, time.Second)
	ctx, disconnect := context.WithCancel(context.Background())
	disconnected := make(chan reply, 1)
	go func() { disconnected <- p.call(ctx, http.MethodPost, "", "gone", "60000") }()
	p.waitStarted("gone")
	r := p.call(context.Background(), http.MethodPost, "", "waits", "100")
	p.is.Equal(r.outcome, "notRun") // its deadline passed in the queue
	p.is.Equal(p.books.Runs("waits"), 0)
	disconnect()
	p.is.True((<-disconnected).err != nil)
	r = p.call(context.Background(), http.MethodPost, "", "next", "60000")
	p.is.Equal(r.outcome, "answered") // the slot of the disconnected caller is free again
	r = p.call(context.Background(), http.MethodPost, "", "runs", "200")
	p.is.Equal(r.outcome, "unknown") // its deadline passed while it ran
	p.is.Equal(p.books.Runs("runs"), 1)
}

// Guards against a request that gets no outcome or runs twice when its entry
// restarts without a planned stop or its agent's connection is replaced, and
// against an agent that keeps the slots allocated for the old connection.
func TestDisconnectWhileRunning(t *testing.T) {
	for name, lose := range map[string]func(*testbed){
		"entry restarted": func(p *testbed) {
			p.server.Close()
			p.entry.Close()
			p.startEntry(p.server.Address())
		},
		"connection replaced": func(p *testbed) {
			// A second agent process with the same ID replaces the first one's connection.
			conn, _, err := peer.Dial(context.Background(), p.url+peer.Path, http.DefaultClient, peer.Hello{Agent: "agent-1", Epoch: 7})
			p.is.NoErr(err)
			conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestbed(t, 1, 300*time.Millisecond)
			running := make(chan reply, 1)
			go func() { running <- p.call(context.Background(), http.MethodPost, "", "running", "60000") }()
			p.waitStarted("running")
			lose(p)
			r := <-running
			p.is.True(r.err != nil || r.outcome == "unknown") // its response can no longer arrive
			p.waitSlots(1)
			r = p.call(context.Background(), http.MethodPost, "", "after", "60000")
			p.is.Equal(r.outcome, "answered")
			p.is.Equal(p.books.Runs("running"), 1)
			p.is.Equal(p.books.Runs("after"), 1)
			_, overSlot := p.books.Totals()
			p.is.Equal(overSlot, 0) // the slot was allocated twice
		})
	}
}

// Guards against the outcome "notRun" for a request that has run when its repetition does not run.
func TestRepetitionThatDoesNotRunLeavesOutcomeUnknown(t *testing.T) {
	p := newTestbed(t, 1, 300*time.Millisecond)
	running := make(chan reply, 1)
	go func() { running <- p.call(context.Background(), http.MethodGet, "", "running", "1000") }()
	p.waitStarted("running")
	p.agent.Close() // the entry repeats the request and finds no endpoint until the deadline
	r := <-running
	p.is.NoErr(r.err)
	p.is.Equal(r.outcome, "unknown")
	p.is.Equal(p.books.Runs("running"), 1)
}
