package operatorhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/operator"
)

const (
	secret    = "root-secret-token"
	viewer    = "viewer-secret-token"
	salesman  = "sales-secret-token"
	pasted    = "pasted-secret-token"
	validBody = `{"changeId":"change-0001","expectedVersion":0,"spec":{"defaultDeadlineMs":2000,"classes":["board"]}}`
)

// fixedEntry stands for the parts of an entry behind the API.
type fixedEntry struct{ calls []string }

func (e *fixedEntry) Status(context.Context) (EntryStatus, error) {
	return EntryStatus{Entry: "e0", Revision: 4, Ready: true, Rollout: operator.RolloutStatus{Revision: 4, Agents: 1, Applied: 1, Lowest: 4}}, nil
}

func (e *fixedEntry) Explain(_ context.Context, q ExplainRequest) (operator.Explanation, error) {
	if q.Name == "none" {
		return operator.Explanation{}, &oleandervalve.NotFoundError{Kind: q.Subject, Name: q.Name, Remedy: "check the name"}
	}
	return operator.Explanation{Subject: q.Subject + " " + q.Name, Answer: "it waits for capacity"}, nil
}

func (e *fixedEntry) Drain(_ context.Context, d Drain, a operator.Actor) (Progress, error) {
	e.calls = append(e.calls, fmt.Sprint("drain ", d, " ", a.Name))
	return Progress{State: "draining"}, nil
}

func (e *fixedEntry) Cancel(_ context.Context, j oleandervalve.JobID, a operator.Actor) (Progress, error) {
	e.calls = append(e.calls, fmt.Sprint("cancel ", j, " ", a.Name))
	return Progress{State: "cancelling"}, nil
}

// system is one entry's API over a table in memory.
type system struct {
	is      *is.I
	clock   *clockwork.FakeClock
	table   *memTable
	watcher *Watcher
	entry   *fixedEntry
	handler http.Handler
	log     bytes.Buffer
}

func newSystem(t *testing.T) *system {
	s := &system{is: is.New(t), clock: clockwork.NewFakeClockAt(time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)), entry: &fixedEntry{}}
	log := logrus.New()
	log.SetOutput(&s.log)
	log.SetLevel(logrus.TraceLevel)
	s.table = newMemTable(s.clock)
	s.watcher = NewWatcher(s.table, s.clock, log)
	auth, err := NewAuthenticator(s.watcher, operator.HashToken(secret), "platform")
	s.is.NoErr(err)
	r := mux.NewRouter()
	New(Options{
		Store: NewStore(s.table, s.clock, log, "platform"), Watcher: s.watcher, Auth: auth,
		Clock: s.clock, Log: log, Status: s.entry, Explain: s.entry, Actions: s.entry,
	}).Register(r)
	s.handler = r
	s.is.NoErr(s.watcher.Poll(context.Background()))
	for i, x := range [][3]string{{"viewer", viewer, `"platform","roles":["viewer"]`}, {"sales", salesman, `"sales","roles":["operator"]`}} {
		body := fmt.Sprintf(`{"changeId":"setup-%04d","expectedVersion":0,"spec":{"hash":"%s","team":%s}}`, i, operator.HashToken(x[1]), x[2])
		s.is.Equal(s.call(secret, "PUT", "/v1/objects/token/"+x[0], body).Code, 200)
	}
	s.is.NoErr(s.watcher.Poll(context.Background()))
	return s
}

func (s *system) call(token, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return w
}

// Guards against requests that are accepted although they are wrong or not
// permitted, against vague errors, and against secrets in answers, audit and logs.
func TestRefusedRequests(t *testing.T) {
	s := newSystem(t)
	const a = "/v1/objects/service/a"
	var out bytes.Buffer
	for _, c := range [][5]string{
		{"first change", secret, "PUT", a, validBody},
		{"same change again", secret, "PUT", a, validBody},
		{"change id with other content", secret, "PUT", a, strings.Replace(validBody, "2000", "1", 1)},
		{"stale version", secret, "PUT", a, `{"changeId":"change-0002","expectedVersion":0,"spec":{"defaultDeadlineMs":1,"classes":["x"]}}`},
		{"no such object", secret, "DELETE", "/v1/objects/service/b?expectedVersion=3&changeId=change-0003", ""},
		{"label of no object", secret, "PATCH", "/v1/objects/service/b/labels", `{"changeId":"change-0004","labels":{"a":"b"}}`},
		{"no version, no change id", secret, "PUT", a, `{"spec":{}}`},
		{"not JSON", secret, "PUT", a, `{"spec":` + pasted},
		{"unknown field", secret, "PUT", a, `{"` + pasted + `":1}`},
		{"two values", secret, "PUT", a, validBody + validBody},
		{"empty body", secret, "PUT", a, ""},
		{"body too large", secret, "PUT", a, `{"changeId":"` + strings.Repeat("x", 70<<10) + `"}`},
		{"unknown kind", secret, "PUT", "/v1/objects/servise/a", validBody},
		{"bad names", secret, "PUT", "/v1/objects/service/A%20b", validBody},
		{"token in place of its hash", secret, "PUT", "/v1/objects/token/x", `{"changeId":"change-0005","expectedVersion":0,"spec":{"hash":"` + pasted + `","team":"t","roles":["viewer"]}}`},
		{"no token", "", "PUT", a, validBody},
		{"wrong token", pasted, "DELETE", a, ""},
		{"token too long", strings.Repeat(pasted, 100), "GET", a, ""},
		{"viewer changes", viewer, "PUT", a, validBody},
		{"viewer drains", viewer, "POST", "/v1/drain/w-1", `{"reason":"x","withinSeconds":1}`},
		{"team changes a policy", salesman, "PUT", "/v1/objects/policy/p", `{"changeId":"change-0006","expectedVersion":0,"spec":{"selector":""}}`},
		{"team changes another's service", salesman, "PUT", a, `{"changeId":"change-0007","expectedVersion":3,"spec":{"defaultDeadlineMs":1,"classes":["x"]}}`},
		{"team reads tokens", salesman, "GET", "/v1/objects/token/viewer", ""},
		{"team drains", salesman, "POST", "/v1/drain/w-1", `{"reason":"x","withinSeconds":1}`},
		{"drain without end", secret, "POST", "/v1/drain/w-1", `{"reason":"x","withinSeconds":0}`},
		{"audit time", viewer, "GET", "/v1/audit?from=yesterday", ""},
		{"audit limit", viewer, "GET", "/v1/audit?limit=0", ""},
		{"unknown job", viewer, "GET", "/v1/explain/job/none", ""},
		{"unknown change", viewer, "GET", "/v1/changes/change-9999", ""},
		{"token as admin sees it", secret, "GET", "/v1/objects/token/viewer", ""},
	} {
		w := s.call(c[1], c[2], c[3], c[4])
		fmt.Fprintf(&out, "%s: %s %s\n  %d %s", c[0], c[2], c[3], w.Code, w.Body)
		s.clock.Advance(time.Second)
	}
	goldie.New(t).Assert(t, "refused", out.Bytes())

	audit := s.call(secret, "GET", "/v1/audit?result=refused", "").Body.String()
	goldie.New(t).Assert(t, "audit", []byte(audit))
	var rows strings.Builder
	for _, r := range s.table.rows {
		rows.Write(r.Value)
	}
	for _, place := range []string{out.String(), audit, s.log.String(), rows.String()} {
		for _, x := range []string{secret, viewer, salesman, pasted} {
			s.is.True(!strings.Contains(place, x))
		}
	}
	s.is.True(!strings.Contains(out.String()+audit+s.log.String(), operator.HashToken(viewer)))
	s.is.Equal(len(s.entry.calls), 0)

	s.is.Equal(s.call(secret, "POST", "/v1/drain/w-1", `{"reason":"kernel","withinSeconds":60}`).Code, 202)
	s.is.Equal(s.call(salesman, "POST", "/v1/cancel/j-1", "").Code, 202)
	s.is.Equal(s.entry.calls, []string{"drain {w-1 kernel 1m0s} bootstrap", "cancel j-1 sales"})
	audit = s.call(secret, "GET", "/v1/audit?result=accepted&actor=sales", "").Body.String()
	s.is.True(strings.Contains(audit, `"verb":"cancel","kind":"job","name":"j-1","result":"accepted"`)) // actions are recorded too
}

// Guards against one caller that uses up the API, and against wrong tokens that
// fill the audit trail or lock out valid ones.
func TestRateLimits(t *testing.T) {
	s := newSystem(t)
	for range callerBurst {
		s.is.Equal(s.call(viewer, "GET", "/v1/status", "").Code, 200)
	}
	s.is.Equal(s.call(viewer, "GET", "/v1/status", "").Code, 429)
	s.is.Equal(s.call(secret, "GET", "/v1/status", "").Code, 200) // others are not limited
	s.clock.Advance(time.Second)
	s.is.Equal(s.call(viewer, "GET", "/v1/status", "").Code, 200)
	commits := s.table.commits
	for range 1000 {
		s.is.Equal(s.call("wrong", "PUT", "/v1/objects/service/a", "{}").Code, 401)
	}
	s.is.Equal(s.table.commits-commits, wrongTokenBurst)
	s.is.Equal(s.call(secret, "PUT", "/v1/objects/service/a", validBody).Code, 200)
}

// Guards against outages that are reported as success or as a wrong outcome,
// and against an entry that serves before it has a configuration.
func TestOutages(t *testing.T) {
	s := newSystem(t)
	var e APIError
	for _, c := range []struct {
		fates  []string
		status int
		reason oleandervalve.Reason
	}{
		{[]string{"down"}, 503, ReasonUnavailable},                // before the read
		{[]string{"", "down", "down"}, 503, ReasonUnavailable},    // the commit is refused
		{[]string{"", "late", "down"}, 504, ReasonUnknownOutcome}, // the answer is lost, then an outage
		{[]string{"", "lostAfter"}, 200, ""},                      // the answer is lost, the change id resolves it
		{nil, 200, ""},
	} {
		i := 0
		s.table.fault = func(string) string {
			i++
			if i > len(c.fates) {
				return ""
			}
			return c.fates[i-1]
		}
		w := s.call(secret, "PUT", "/v1/objects/service/a", validBody)
		s.is.Equal(w.Code, c.status)
		e = APIError{}
		s.is.NoErr(json.Unmarshal(w.Body.Bytes(), &e))
		s.is.Equal(e.Reason, c.reason)
	}
	s.is.Equal(s.call(secret, "GET", "/v1/changes/change-0001", "").Code, 200)
	s.is.NoErr(s.watcher.Poll(context.Background()))
	s.table.fault = func(string) string { return "down" }
	s.is.Equal(s.call(viewer, "GET", "/v1/objects/service/a", "").Code, 200) // the replica answers
	fresh := NewWatcher(s.table, s.clock, quiet())
	s.is.True(fresh.Poll(context.Background()) != nil)
	auth, err := NewAuthenticator(fresh, "", "platform")
	s.is.NoErr(err)
	r := httptest.NewRequest("GET", "/v1/status", nil)
	r.Header.Set("Authorization", "Bearer "+viewer)
	_, err = auth.Authenticate(r)
	s.is.Equal(describe(err).Reason, ReasonNotReady)
}

// Guards against audit filters that drop or add records, over several pages.
func TestAuditFilters(t *testing.T) {
	s := newSystem(t)
	s.table.pageMax = 3
	begin := s.clock.Now()
	for i := range 20 {
		s.clock.Advance(10 * time.Minute)
		body := fmt.Sprintf(`{"changeId":"change-%04d","expectedVersion":0,"spec":{"defaultDeadlineMs":1,"classes":["x"]}}`, i)
		s.is.Equal(s.call(secret, "PUT", fmt.Sprintf("/v1/objects/service/s%d", i%15), body).Code, map[bool]int{true: 200, false: 409}[i < 15])
	}
	count := func(q string) int {
		return strings.Count(s.call(viewer, "GET", "/v1/audit?"+q, "").Body.String(), "\n")
	}
	at := func(minutes int) string { return begin.Add(time.Duration(minutes) * time.Minute).Format(time.RFC3339) }
	s.is.Equal(count(""), 22) // two tokens, 15 accepted, 5 refused
	s.is.Equal(count("result=refused"), 5)
	s.is.Equal(count("kind=token&actor=bootstrap"), 2)
	s.is.Equal(count("name=s3"), 2)
	s.is.Equal(count("actor=nobody"), 0)
	s.is.Equal(count("from="+at(100)), 11)
	s.is.Equal(count("from="+at(100)+"&to="+at(130)), 3)
	s.is.Equal(count("limit=7"), 7)
}

// Guards against pruning that deletes what entries still read or what the
// retention covers, and against a watcher that does not poll every second.
func TestPruneAndWatch(t *testing.T) {
	s := newSystem(t)
	store := NewStore(s.table, s.clock, quiet(), "platform")
	ctx, cancel := context.WithCancel(context.Background())
	for i := range maxLogRows + 60 {
		s.clock.Advance(time.Minute)
		n := fmt.Sprint(i)
		c := operator.Change{ID: operator.ChangeID(fmt.Sprintf("change-%04d", i)), Verb: operator.VerbLabel, Kind: "token", Name: "viewer", Labels: map[string]*string{"n": &n}}
		_, err := store.Change(ctx, c, root, false)
		s.is.NoErr(err)
	}
	n, err := store.Prune(ctx, 24*time.Hour)
	s.is.NoErr(err)
	s.is.Equal(n, 0) // all are within the retention
	n, err = store.Prune(ctx, time.Hour)
	s.is.NoErr(err)
	s.is.Equal(n, 62) // 562 revisions, of which the newest 500 stay
	// The watcher is behind the pruned log and scans all objects.
	s.is.NoErr(s.watcher.Poll(ctx))
	var at oleandervalve.Revision
	s.watcher.Do(func(r *operator.Replica) { at = r.Revision() })
	s.is.Equal(at, oleandervalve.Revision(maxLogRows+62))

	done := make(chan struct{})
	go func() { s.watcher.Run(ctx); close(done) }()
	s.is.NoErr(s.clock.BlockUntilContext(ctx, 1))
	<-s.watcher.Changed() // from the poll above
	x := "y"
	_, err = store.Change(ctx, operator.Change{ID: "change-last", Verb: operator.VerbLabel, Kind: "token", Name: "viewer", Labels: map[string]*string{"x": &x}}, root, false)
	s.is.NoErr(err)
	s.clock.Advance(PollInterval)
	<-s.watcher.Changed()
	cancel()
	<-done
	s.watcher.Do(func(r *operator.Replica) { at = r.Revision() })
	s.is.Equal(at, oleandervalve.Revision(maxLogRows+63))
}
