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

// path is a caller's way through an entry and an agent to one endpoint.
type path struct {
	is       *is.I
	entry    *entry.Entry
	server   *standin.Server
	agent    *agent.Agent
	endpoint *standin.Endpoint
	books    *standin.Books
	url      string
}

func quiet() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func (p *path) startEntry(address string) {
	p.entry = entry.New("entry-1", entry.WithLog(quiet()))
	m := http.NewServeMux()
	m.Handle(peer.Path, p.entry.PeerHandler())
	m.Handle("/call/", callerhttp.Handler(p.entry, callerhttp.TrustedHeaders{}))
	var err error
	p.server, err = standin.Serve(address, m)
	p.is.NoErr(err)
}

func newPath(t *testing.T, slots int, service time.Duration) *path {
	p := &path{is: is.New(t), books: standin.NewBooks()}
	p.startEntry("127.0.0.1:0")
	p.url = p.server.URL
	p.agent = agent.New("agent-1", []string{p.url + peer.Path}, agent.WithLog(quiet()))
	announce, err := standin.Serve("127.0.0.1:0", p.agent.AnnounceHandler())
	p.is.NoErr(err)
	p.endpoint, err = standin.StartEndpoint(standin.EndpointConfig{
		Announcement: oleandervalve.Announcement{Endpoint: "executor-1", Service: "formaro", Slots: slots, Connections: 64},
		Agent:        announce.URL, Service: service, Books: p.books,
	})
	p.is.NoErr(err)
	p.settle(slots)
	t.Cleanup(func() {
		p.endpoint.Close()
		p.agent.Close()
		announce.Close()
		p.server.Close()
		p.entry.Close()
	})
	return p
}

func (p *path) settle(slots int) {
	for p.entry.Slots("formaro") != slots {
		time.Sleep(5 * time.Millisecond)
	}
}

// reply is what a caller has of one request.
type reply struct {
	outcome string
	body    string
	err     error
}

func (p *path) call(ctx context.Context, method, query, id, timeout string) reply {
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

// started waits until the endpoint has begun a request.
func (p *path) started(id string) {
	for p.books.Runs(id) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against an answer that the endpoint cut and that the caller takes for
// a whole one, small and large, and against a second run of it.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	for name, c := range map[string]struct {
		fault standin.EndpointFault
		query string
	}{
		"no answer":         {standin.EndpointFault{DropAnswer: true}, ""},
		"cut in the first":  {standin.EndpointFault{CutAfter: 8 << 10}, "size=100000"},
		"cut in the middle": {standin.EndpointFault{CutAfter: 512 << 10}, "size=1000000"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPath(t, 2, 0)
			p.endpoint.SetFault(c.fault)
			r := p.call(context.Background(), http.MethodPost, c.query, "cut", "20000")
			p.is.True(r.err != nil || r.outcome == "unknown") // short answer passed for a whole one
			p.is.Equal(p.books.Runs("cut"), 1)
		})
	}
}

// Guards against answers that mix on one connection, or a large answer that
// keeps small ones from passing.
func TestLargeAnswerBesideSmallOnes(t *testing.T) {
	p := newPath(t, 8, 0)
	const size = 24 << 20
	large := make(chan reply, 1)
	go func() {
		large <- p.call(context.Background(), http.MethodGet, fmt.Sprintf("size=%d", size), "large", "60000")
	}()
	p.started("large")
	for i := range 50 {
		id := fmt.Sprintf("small-%d", i)
		r := p.call(context.Background(), http.MethodPost, "", id, "60000")
		p.is.NoErr(r.err)
		p.is.True(strings.HasPrefix(r.body, standin.Answer(id)+" ")) // answer of another request
	}
	r := <-large
	p.is.NoErr(r.err)
	p.is.Equal(len(r.body), size)
}

// Guards against answers that reach the wrong caller when callers choose the
// same request id.
func TestSameRequestIDFromTwoCallers(t *testing.T) {
	p := newPath(t, 4, 20*time.Millisecond)
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
		p.is.True(strings.HasPrefix(r.body, standin.Answer(id)+" ")) // answer of another request
		p.is.Equal(p.books.Runs(id), 1)
	}
}

// Guards against a caller that is told "not run" of a request that runs, or
// "unknown" of one that only waited, and against slots that stay taken by
// requests whose callers are gone.
func TestDeadlineAndLostCaller(t *testing.T) {
	p := newPath(t, 1, time.Second)
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan reply, 1)
	go func() { gone <- p.call(ctx, http.MethodPost, "", "gone", "60000") }()
	p.started("gone")
	r := p.call(context.Background(), http.MethodPost, "", "waits", "100")
	p.is.Equal(r.outcome, "notRun") // its deadline passed in the queue
	p.is.Equal(p.books.Runs("waits"), 0)
	leave()
	p.is.True((<-gone).err != nil)
	r = p.call(context.Background(), http.MethodPost, "", "next", "60000")
	p.is.Equal(r.outcome, "answered") // the slot of the lost caller is free again
	r = p.call(context.Background(), http.MethodPost, "", "runs", "200")
	p.is.Equal(r.outcome, "unknown") // its deadline passed while it ran
	p.is.Equal(p.books.Runs("runs"), 1)
}

// Guards against a request that is lost or run twice when its entry is
// restarted without warning or its agent's connection is replaced, and against
// an agent that keeps the slots of the old connection.
func TestConnectionLostWhileRunning(t *testing.T) {
	for name, lose := range map[string]func(*path){
		"entry restarted": func(p *path) {
			p.server.Close()
			p.entry.Close()
			p.startEntry(p.server.Address())
		},
		"connection replaced": func(p *path) {
			// A second agent process under the same id takes the first one's place.
			conn, _, err := peer.Dial(context.Background(), p.url+peer.Path, http.DefaultClient, peer.Hello{Agent: "agent-1", Epoch: 7})
			p.is.NoErr(err)
			conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPath(t, 1, 300*time.Millisecond)
			running := make(chan reply, 1)
			go func() { running <- p.call(context.Background(), http.MethodPost, "", "running", "60000") }()
			p.started("running")
			lose(p)
			r := <-running
			p.is.True(r.err != nil || r.outcome == "unknown") // its answer can't arrive any more
			p.settle(1)
			r = p.call(context.Background(), http.MethodPost, "", "after", "60000")
			p.is.Equal(r.outcome, "answered")
			p.is.Equal(p.books.Runs("running"), 1)
			p.is.Equal(p.books.Runs("after"), 1)
			_, over := p.books.Totals()
			p.is.Equal(over, 0) // the slot was given out twice
		})
	}
}
