package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/keyrange"
	"oleandervalve/io/agent"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/entry"
	"oleandervalve/io/peer"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
)

const testCaller = "bar"

type keyedSystem struct {
	is        *is.I
	books     *standin.ExecutionLog
	faults    *standin.Faults
	table     oleandervalve.Table
	urls      []string
	agents    map[oleandervalve.AgentID]*agent.Agent
	endpoints map[oleandervalve.AgentID]*standin.Endpoint
	log       *logrus.Entry
	lease     keyrange.LeaseOptions
	peers     []string
	next      int
	// query is added to the path of every call.
	query string
}

// startKeyedSystem starts a table, two entries, and three agents with an endpoint
// each. It returns when every key range has an active owner and both entries
// answer keyed calls.
func startKeyedSystem(t *testing.T, lease keyrange.LeaseOptions) *keyedSystem {
	s := &keyedSystem{
		is: is.New(t), books: standin.NewExecutionLog(), agents: map[oleandervalve.AgentID]*agent.Agent{}, endpoints: map[oleandervalve.AgentID]*standin.Endpoint{},
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	log := logrus.NewEntry(quiet)
	table := standin.NewTable(oleandervalve.SystemClock(), 1)
	s.faults = table.Faults
	server := s.serve(t, table.Handler())
	s.table = tablehttp.NewClient(server.URL, 5*time.Second)
	s.log, s.lease = log, lease
	for i := range 2 {
		o := entry.DefaultKeyOptions()
		o.Lease = lease
		e := entry.New(oleandervalve.EntryID(fmt.Sprintf("entry-%d", i)), entry.WithKeys(s.table, o), entry.WithLog(log))
		t.Cleanup(e.Close)
		m := http.NewServeMux()
		m.Handle(peer.Path, e.PeerHandler())
		m.Handle("/call/", callerhttp.Handler(e, callerhttp.TrustedHeaders{}))
		s.urls = append(s.urls, s.serve(t, m).URL)
		s.peers = append(s.peers, s.urls[i]+peer.Path)
	}
	for i := range 3 {
		s.startAgent(t, oleandervalve.AgentID(fmt.Sprintf("agent-%d", i)))
	}
	// An owner doesn't respond until it has read the map, and can't read it during a table outage.
	s.waitUntil(func() bool {
		n := 0
		for _, a := range s.agents {
			n += a.KeyRanges()
		}
		return n == keyrange.Count
	})
	for e := range s.urls {
		s.waitUntil(func() bool { return s.call(e, s.key(), "warm", "").answered() })
	}
	return s
}

func (s *keyedSystem) startAgent(t *testing.T, id oleandervalve.AgentID) {
	o := agent.DefaultKeyOptions()
	o.Lease = s.lease
	a := agent.New(id, s.peers, agent.WithKeys(s.table, o), agent.WithLog(s.log))
	t.Cleanup(a.Close)
	x, err := standin.StartEndpoint(standin.EndpointConfig{
		Announcement: oleandervalve.Announcement{Endpoint: oleandervalve.EndpointID("x-" + id), Service: "svc", Slots: 4, Connections: 8},
		AgentURL:     s.serve(t, a.AnnounceHandler()).URL, Executions: s.books, ServiceTime: time.Millisecond,
	})
	s.is.NoErr(err)
	t.Cleanup(x.Close)
	s.agents[id], s.endpoints[id] = a, x
}

func (s *keyedSystem) serve(t *testing.T, h http.Handler) *standin.Server {
	x, err := standin.Serve("127.0.0.1:0", h)
	s.is.NoErr(err)
	t.Cleanup(x.Close)
	return x
}

// waitUntil polls until the condition is true. It has no timeout except that of the test.
func (s *keyedSystem) waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *keyedSystem) key() string {
	s.next++
	return fmt.Sprintf("%d-random%04d", time.Now().UnixMilli(), s.next)
}

type keyedAnswer struct {
	status   int
	outcome  string
	reason   string
	replayed bool
	body     string
}

func (a keyedAnswer) answered() bool { return a.outcome == string(oleandervalve.OutcomeAnswered) }

// call sends one call with an idempotency key through an entry.
func (s *keyedSystem) call(e int, key, work, body string) keyedAnswer {
	r, err := http.NewRequest(http.MethodPost, s.urls[e]+"/call/svc/bookings"+s.query, strings.NewReader(body))
	s.is.NoErr(err)
	r.Header.Set(callerhttp.HeaderKey, key)
	r.Header.Set(callerhttp.HeaderCaller, testCaller)
	r.Header.Set(callerhttp.HeaderTimeout, "3000")
	r.Header.Set(standin.HeaderTestID, work)
	p, err := http.DefaultClient.Do(r)
	s.is.NoErr(err)
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	s.is.NoErr(err)
	return keyedAnswer{
		p.StatusCode, p.Header.Get(callerhttp.HeaderOutcome), p.Header.Get(callerhttp.HeaderReason),
		p.Header.Get(callerhttp.HeaderReplayed) == "true", string(b),
	}
}

// retry repeats a call through the second entry until its response has none of
// the transient reasons.
func (s *keyedSystem) retry(key, work, body string, transient ...string) keyedAnswer {
	for {
		a := s.call(1, key, work, body)
		again := false
		for _, p := range transient {
			again = again || a.reason == p
		}
		if !again {
			return a
		}
	}
}

func (s *keyedSystem) owner(key string) keyrange.Owner {
	rows, err := s.table.Get(context.Background(), keyrange.MapKey)
	s.is.NoErr(err)
	m, err := keyrange.Decode(rows[0])
	s.is.NoErr(err)
	return m.Get(keyrange.Of(testCaller, "svc", key)).Owner
}

func testLease(d time.Duration) keyrange.LeaseOptions {
	return keyrange.LeaseOptions{Duration: d, Guard: time.Second, RenewInterval: time.Second}
}

// Guards against a retry through another entry that runs the request again, and
// against a key that is accepted for two different requests.
func TestRetryThroughOtherEntry(t *testing.T) {
	t.Parallel()
	s := startKeyedSystem(t, testLease(10*time.Minute))
	key := s.key()
	first := s.call(0, key, "w1", "two kegs")
	s.is.True(first.answered() && !first.replayed)
	again := s.retry(key, "w1", "two kegs", "keyPending")
	s.is.True(again.answered() && again.replayed)
	s.is.Equal(again.body, first.body)
	s.is.Equal(s.books.Runs("w1"), 1)
	other := s.call(1, key, "w2", "three kegs")
	s.is.Equal(other.status, http.StatusUnprocessableEntity)
	s.is.Equal(other.outcome, string(oleandervalve.OutcomeNotRun))
	s.is.Equal(other.reason, "keyBodyDiffers")
	s.is.Equal(s.books.Runs("w2"), 0)
	large := strings.Repeat("keg ", 10_000)
	s.is.True(s.call(0, s.key(), "w3", large).answered()) // a body that doesn't fit in one message
	s.query = "?size=100000"
	key = s.key()
	s.is.Equal(len(s.call(0, key, "w5", "").body), 100_000)
	notKept := s.retry(key, "w5", "", "keyPending")
	s.is.Equal(notKept.status, http.StatusConflict)
	s.is.Equal(notKept.reason, "keyAnswerNotKept")
	s.is.Equal(s.books.Runs("w5"), 1)
	inFuture := s.call(0, fmt.Sprintf("%d-random00", time.Now().Add(time.Hour).UnixMilli()), "w4", "")
	s.is.Equal(inFuture.status, http.StatusBadRequest)
	s.is.Equal(s.books.Runs("w4"), 0)
}

// Guards against a call that is aborted because its caller disconnected, or that
// runs again while it is still running.
func TestRetryWhileRunning(t *testing.T) {
	t.Parallel()
	s := startKeyedSystem(t, testLease(10*time.Minute))
	for _, x := range s.endpoints {
		x.SetFault(standin.EndpointFault{Slow: 1500})
	}
	key := s.key()
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := make(chan error, 1)
	go func() {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.urls[0]+"/call/svc/bookings", http.NoBody)
		if err == nil {
			r.Header.Set(callerhttp.HeaderKey, key)
			r.Header.Set(callerhttp.HeaderCaller, testCaller)
			r.Header.Set(standin.HeaderTestID, "w")
			_, err = http.DefaultClient.Do(r) //nolint:bodyclose // The caller disconnects before there is a response.
		}
		disconnected <- err
	}()
	s.waitUntil(func() bool { return s.books.Runs("w") == 1 })
	disconnect()
	s.is.True(errors.Is(<-disconnected, context.Canceled))
	again := s.retry(key, "w", "", "keyPending")
	s.is.True(again.answered() && again.replayed)
	s.is.Equal(s.books.Runs("w"), 1)
}

// Guards against a second run when the endpoint executed the request but its response was lost.
func TestRetryAfterLostResponse(t *testing.T) {
	t.Parallel()
	s := startKeyedSystem(t, testLease(10*time.Minute))
	for _, x := range s.endpoints {
		x.SetFault(standin.EndpointFault{DropResponse: true})
	}
	key := s.key()
	s.is.Equal(s.call(0, key, "w", "").outcome, string(oleandervalve.OutcomeUnknown))
	for _, x := range s.endpoints {
		x.SetFault(standin.EndpointFault{})
	}
	again := s.retry(key, "w", "", "keyPending")
	s.is.Equal(again.outcome, string(oleandervalve.OutcomeUnknown))
	s.is.Equal(again.reason, "keyLost")
	s.is.Equal(s.books.Runs("w"), 1)
}

// Guards against a planned stop of an owner that loses records, lets a key run
// again or never completes, also if some commits to the table fail or their
// responses are lost.
func TestRetryAfterDrainOfOwner(t *testing.T) {
	for name, faults := range map[string][]standin.Fault{
		"table available": nil,
		"table responses lost": {
			{Operation: "commit", DropResponse: true, Share: 0.5}, {Operation: "commit", Down: true, Share: 0.5},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startKeyedSystem(t, testLease(10*time.Minute))
			key := s.key()
			first := s.call(0, key, "w", "")
			s.is.True(first.answered())
			s.is.True(s.retry(key, "w", "", "keyPending").replayed)
			old := s.owner(key)
			s.faults.Set(faults...)
			s.is.True(s.agents[old.Agent].Drain(time.Hour))
			s.agents[old.Agent].Shutdown()
			s.is.True(s.owner(key) != old)
			again := s.retry(key, "w", "", "keyHomeUnreachable", "keyHomeSilent")
			s.is.True(again.answered() && again.replayed)
			s.is.Equal(again.body, first.body)
			s.is.Equal(s.books.Runs("w"), 1)
		})
	}
}

// Guards against a second run of a key whose owner terminated without
// transferring its records, before and after the takeover, and against ranges
// that stay without an owner, also if the agent restarts at once.
func TestRetryAfterFailureOfOwner(t *testing.T) {
	for name, restart := range map[string]bool{"terminated": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startKeyedSystem(t, testLease(5*time.Second))
			key := s.key()
			s.is.True(s.call(0, key, "w", "").answered())
			// Wait for the replay: an outcome that the old owner had not
			// acknowledged would be reported to the new one.
			s.is.True(s.retry(key, "w", "", "keyPending").replayed)
			old := s.owner(key)
			s.endpoints[old.Agent].Close()
			s.agents[old.Agent].Close()
			if restart {
				s.startAgent(t, old.Agent)
			}
			again := s.call(1, key, "w", "")
			s.is.Equal(again.outcome, string(oleandervalve.OutcomeUnknown))
			s.waitUntil(func() bool { return s.owner(key) != old })
			again = s.retry(key, "w", "", "keyHomeUnreachable", "keyHomeSilent")
			s.is.Equal(again.outcome, string(oleandervalve.OutcomeUnknown))
			s.is.Equal(again.reason, "keyTakenOver")
			s.is.Equal(s.books.Runs("w"), 1)
			taken := keyrange.Of(testCaller, "svc", key)
			s.waitUntil(func() bool {
				newKey := s.key()
				for keyrange.Of(testCaller, "svc", newKey) != taken {
					newKey = s.key()
				}
				return s.call(0, newKey, "fresh", "").answered()
			})
		})
	}
}

// Guards against an agent that starts later and is never assigned ranges, and
// against keys that become indeterminate when ranges are transferred to it.
func TestLaterAgentBecomesOwner(t *testing.T) {
	t.Parallel()
	s := startKeyedSystem(t, testLease(10*time.Minute))
	keys := map[string]bool{}
	for range 20 {
		key := s.key()
		keys[key] = s.call(0, key, key, "").answered()
	}
	s.startAgent(t, "agent-3")
	s.waitUntil(func() bool { return s.agents["agent-3"].KeyRanges() == keyrange.Count/4 })
	for key, answered := range keys {
		s.is.True(answered)
		s.is.True(s.retry(key, key, "", "keyPending").replayed)
		s.is.Equal(s.books.Runs(key), 1)
	}
}

// Guards against keyed calls that fail, or run again, while the table is unavailable.
func TestKeyedCallsDuringTableOutage(t *testing.T) {
	t.Parallel()
	s := startKeyedSystem(t, testLease(10*time.Minute))
	s.faults.Set(standin.Fault{Down: true})
	key := s.key()
	s.is.True(s.call(0, key, "w", "").answered())
	s.is.True(s.retry(key, "w", "", "keyPending").replayed)
	s.is.Equal(s.books.Runs("w"), 1)
}

// Guards against an entry without a key service that silently runs a keyed call
// without its at-most-once guarantee.
func TestKeyedCallWithoutKeyService(t *testing.T) {
	is := is.New(t)
	e := entry.New("entry")
	defer e.Close()
	err := e.Dispatch(t.Context(), callerhttp.Call{Service: "svc", Key: "1800000000000-random00", Timeout: time.Minute}, nil)
	var notRun *oleandervalve.NotRunError
	is.True(errors.As(err, &notRun))
	is.Equal(notRun.Reason, oleandervalve.Reason("keysNotConfigured"))
}
