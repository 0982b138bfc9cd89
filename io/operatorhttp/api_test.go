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
	adminToken  = "root-secret-token"
	viewerToken = "viewer-secret-token"
	salesToken  = "sales-secret-token"
	pastedToken = "pasted-secret-token"
	validBody   = `{"changeId":"change-0001","expectedVersion":0,"spec":{"defaultDeadlineMs":2000,"classes":["board"]}}`
)

// stubEntry implements StatusSource, Explainer and Actions with fixed answers and
// records the actions.
type stubEntry struct{ calls []string }

func (e *stubEntry) Status(context.Context) (EntryStatus, error) {
	return EntryStatus{Entry: "e0", Revision: 4, Ready: true, Rollout: operator.RolloutStatus{Revision: 4, Agents: 1, Applied: 1, Lowest: 4}}, nil
}

func (e *stubEntry) Explain(_ context.Context, q ExplainRequest) (operator.Explanation, error) {
	if q.Name == "none" {
		return operator.Explanation{}, &oleandervalve.NotFoundError{Kind: q.Subject, Name: q.Name, Remedy: "check the name"}
	}
	return operator.Explanation{Subject: q.Subject + " " + q.Name, Answer: "it waits for capacity"}, nil
}

func (e *stubEntry) Drain(_ context.Context, d DrainRequest, a operator.Actor) (Progress, error) {
	e.calls = append(e.calls, fmt.Sprint("drain ", d, " ", a.Name))
	return Progress{State: "draining"}, nil
}

func (e *stubEntry) Cancel(_ context.Context, j oleandervalve.JobID, a operator.Actor) (Progress, error) {
	e.calls = append(e.calls, fmt.Sprint("cancel ", j, " ", a.Name))
	return Progress{State: "cancelling"}, nil
}

// testAPI is one entry's API with an in-memory table.
type testAPI struct {
	is      *is.I
	clock   *clockwork.FakeClock
	table   *memTable
	watcher *Watcher
	entry   *stubEntry
	handler http.Handler
	log     bytes.Buffer
}

func newTestAPI(t *testing.T) *testAPI {
	s := &testAPI{is: is.New(t), clock: clockwork.NewFakeClockAt(time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)), entry: &stubEntry{}}
	log := logrus.New()
	log.SetOutput(&s.log)
	log.SetLevel(logrus.TraceLevel)
	s.table = newMemTable(s.clock)
	s.watcher = NewWatcher(s.table, s.clock, log)
	auth, err := NewAuthenticator(s.watcher, operator.HashToken(adminToken), "platform")
	s.is.NoErr(err)
	r := mux.NewRouter()
	New(Options{
		Store: NewStore(s.table, s.clock, log, "platform"), Watcher: s.watcher, Auth: auth,
		Clock: s.clock, Log: log, Status: s.entry, Explain: s.entry, Actions: s.entry,
	}).Register(r)
	s.handler = r
	s.is.NoErr(s.watcher.Poll(context.Background()))
	for i, x := range [][3]string{{"viewer", viewerToken, `"platform","roles":["viewer"]`}, {"sales", salesToken, `"sales","roles":["operator"]`}} {
		body := fmt.Sprintf(`{"changeId":"setup-%04d","expectedVersion":0,"spec":{"hash":"%s","team":%s}}`, i, operator.HashToken(x[1]), x[2])
		s.is.Equal(s.call(adminToken, "PUT", "/v1/objects/token/"+x[0], body).Code, 200)
	}
	s.is.NoErr(s.watcher.Poll(context.Background()))
	return s
}

func (s *testAPI) call(token, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return w
}

// Guards against accepting invalid or forbidden requests, against vague errors,
// and against secrets in responses, the audit trail and logs.
func TestRefusedRequests(t *testing.T) {
	s := newTestAPI(t)
	const a = "/v1/objects/service/a"
	var out bytes.Buffer
	for _, c := range [][5]string{
		{"first change", adminToken, "PUT", a, validBody},
		{"same change again", adminToken, "PUT", a, validBody},
		{"change id with other content", adminToken, "PUT", a, strings.Replace(validBody, "2000", "1", 1)},
		{"stale version", adminToken, "PUT", a, `{"changeId":"change-0002","expectedVersion":0,"spec":{"defaultDeadlineMs":1,"classes":["x"]}}`},
		{"no such object", adminToken, "DELETE", "/v1/objects/service/b?expectedVersion=3&changeId=change-0003", ""},
		{"label of no object", adminToken, "PATCH", "/v1/objects/service/b/labels", `{"changeId":"change-0004","labels":{"a":"b"}}`},
		{"no version, no change id", adminToken, "PUT", a, `{"spec":{}}`},
		{"not JSON", adminToken, "PUT", a, `{"spec":` + pastedToken},
		{"unknown field", adminToken, "PUT", a, `{"` + pastedToken + `":1}`},
		{"two values", adminToken, "PUT", a, validBody + validBody},
		{"empty body", adminToken, "PUT", a, ""},
		{"body too large", adminToken, "PUT", a, `{"changeId":"` + strings.Repeat("x", 70<<10) + `"}`},
		{"unknown kind", adminToken, "PUT", "/v1/objects/servise/a", validBody},
		{"bad names", adminToken, "PUT", "/v1/objects/service/A%20b", validBody},
		{"token in place of its hash", adminToken, "PUT", "/v1/objects/token/x", `{"changeId":"change-0005","expectedVersion":0,"spec":{"hash":"` + pastedToken + `","team":"t","roles":["viewer"]}}`},
		{"no token", "", "PUT", a, validBody},
		{"wrong token", pastedToken, "DELETE", a, ""},
		{"token too long", strings.Repeat(pastedToken, 100), "GET", a, ""},
		{"viewer changes", viewerToken, "PUT", a, validBody},
		{"viewer drains", viewerToken, "POST", "/v1/drain/w-1", `{"reason":"x","withinSeconds":1}`},
		{"team changes a policy", salesToken, "PUT", "/v1/objects/policy/p", `{"changeId":"change-0006","expectedVersion":0,"spec":{"selector":""}}`},
		{"team changes another's service", salesToken, "PUT", a, `{"changeId":"change-0007","expectedVersion":3,"spec":{"defaultDeadlineMs":1,"classes":["x"]}}`},
		{"team reads tokens", salesToken, "GET", "/v1/objects/token/viewer", ""},
		{"team drains", salesToken, "POST", "/v1/drain/w-1", `{"reason":"x","withinSeconds":1}`},
		{"drain without end", adminToken, "POST", "/v1/drain/w-1", `{"reason":"x","withinSeconds":0}`},
		{"audit time", viewerToken, "GET", "/v1/audit?from=yesterday", ""},
		{"audit limit", viewerToken, "GET", "/v1/audit?limit=0", ""},
		{"unknown job", viewerToken, "GET", "/v1/explain/job/none", ""},
		{"unknown change", viewerToken, "GET", "/v1/changes/change-9999", ""},
		{"token as admin sees it", adminToken, "GET", "/v1/objects/token/viewer", ""},
	} {
		w := s.call(c[1], c[2], c[3], c[4])
		fmt.Fprintf(&out, "%s: %s %s\n  %d %s", c[0], c[2], c[3], w.Code, w.Body)
		s.clock.Advance(time.Second)
	}
	goldie.New(t).Assert(t, "refused", out.Bytes())

	audit := s.call(adminToken, "GET", "/v1/audit?result=refused", "").Body.String()
	goldie.New(t).Assert(t, "audit", []byte(audit))
	var rows strings.Builder
	for _, r := range s.table.rows {
		rows.Write(r.Value)
	}
	for _, place := range []string{out.String(), audit, s.log.String(), rows.String()} {
		for _, x := range []string{adminToken, viewerToken, salesToken, pastedToken} {
			s.is.True(!strings.Contains(place, x))
		}
	}
	s.is.True(!strings.Contains(out.String()+audit+s.log.String(), operator.HashToken(viewerToken)))
	s.is.Equal(len(s.entry.calls), 0)

	s.is.Equal(s.call(adminToken, "POST", "/v1/drain/w-1", `{"reason":"kernel","withinSeconds":60}`).Code, 202)
	s.is.Equal(s.call(salesToken, "POST", "/v1/cancel/j-1", "").Code, 202)
	s.is.Equal(s.entry.calls, []string{"drain {w-1 kernel 1m0s} bootstrap", "cancel j-1 sales"})
	audit = s.call(adminToken, "GET", "/v1/audit?result=accepted&actor=sales", "").Body.String()
	s.is.True(strings.Contains(audit, `"verb":"cancel","kind":"job","name":"j-1","result":"accepted"`)) // actions are in the audit trail too
}

// Guards against one token holder that uses up the capacity of the API, and
// against requests with invalid tokens that fill the audit trail or block those
// with valid tokens.
func TestRateLimits(t *testing.T) {
	s := newTestAPI(t)
	for range callerBurst {
		s.is.Equal(s.call(viewerToken, "GET", "/v1/status", "").Code, 200)
	}
	s.is.Equal(s.call(viewerToken, "GET", "/v1/status", "").Code, 429)
	s.is.Equal(s.call(adminToken, "GET", "/v1/status", "").Code, 200) // another token has its own limit
	s.clock.Advance(time.Second)
	s.is.Equal(s.call(viewerToken, "GET", "/v1/status", "").Code, 200)
	commits := s.table.commits
	for range 1000 {
		s.is.Equal(s.call("wrong", "PUT", "/v1/objects/service/a", "{}").Code, 401)
	}
	s.is.Equal(s.table.commits-commits, wrongTokenBurst)
	s.is.Equal(s.call(adminToken, "PUT", "/v1/objects/service/a", validBody).Code, 200)
}

// Guards against reporting a table outage as success or with the wrong outcome,
// and against an entry that serves before it has a configuration.
func TestOutages(t *testing.T) {
	s := newTestAPI(t)
	var e APIError
	for _, c := range []struct {
		faults []string
		status int
		reason oleandervalve.Reason
	}{
		{[]string{"down"}, 503, ReasonUnavailable},                // the read fails
		{[]string{"", "down", "down"}, 503, ReasonUnavailable},    // the commit fails without effect
		{[]string{"", "late", "down"}, 504, ReasonUnknownOutcome}, // the commit's answer is lost, then the read fails
		{[]string{"", "lostAfter"}, 200, ""},                      // the commit's answer is lost; the change id shows that it was applied
		{nil, 200, ""},
	} {
		i := 0
		s.table.fault = func(string) string {
			i++
			if i > len(c.faults) {
				return ""
			}
			return c.faults[i-1]
		}
		w := s.call(adminToken, "PUT", "/v1/objects/service/a", validBody)
		s.is.Equal(w.Code, c.status)
		e = APIError{}
		s.is.NoErr(json.Unmarshal(w.Body.Bytes(), &e))
		s.is.Equal(e.Reason, c.reason)
	}
	s.is.Equal(s.call(adminToken, "GET", "/v1/changes/change-0001", "").Code, 200)
	s.is.NoErr(s.watcher.Poll(context.Background()))
	s.table.fault = func(string) string { return "down" }
	s.is.Equal(s.call(viewerToken, "GET", "/v1/objects/service/a", "").Code, 200) // served by the replica
	emptyWatcher := NewWatcher(s.table, s.clock, discardLogger())
	s.is.True(emptyWatcher.Poll(context.Background()) != nil)
	auth, err := NewAuthenticator(emptyWatcher, "", "platform")
	s.is.NoErr(err)
	r := httptest.NewRequest("GET", "/v1/status", nil)
	r.Header.Set("Authorization", "Bearer "+viewerToken)
	_, err = auth.Authenticate(r)
	s.is.Equal(toAPIError(err).Reason, ReasonNotReady)
}

// Guards against audit filters that omit matching records or return others, with
// results that span several pages of the table.
func TestAuditFilters(t *testing.T) {
	s := newTestAPI(t)
	s.table.pageMax = 3
	begin := s.clock.Now()
	for i := range 20 {
		s.clock.Advance(10 * time.Minute)
		body := fmt.Sprintf(`{"changeId":"change-%04d","expectedVersion":0,"spec":{"defaultDeadlineMs":1,"classes":["x"]}}`, i)
		s.is.Equal(s.call(adminToken, "PUT", fmt.Sprintf("/v1/objects/service/s%d", i%15), body).Code, map[bool]int{true: 200, false: 409}[i < 15])
	}
	count := func(q string) int {
		return strings.Count(s.call(viewerToken, "GET", "/v1/audit?"+q, "").Body.String(), "\n")
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

// Guards against pruning log records that entries still read or that are within
// the retention, and against a watcher that does not poll every second.
func TestPruneAndWatch(t *testing.T) {
	s := newTestAPI(t)
	store := NewStore(s.table, s.clock, discardLogger(), "platform")
	ctx, cancel := context.WithCancel(context.Background())
	for i := range maxLogRows + 60 {
		s.clock.Advance(time.Minute)
		n := fmt.Sprint(i)
		c := operator.Change{ID: operator.ChangeID(fmt.Sprintf("change-%04d", i)), Verb: operator.VerbLabel, Kind: "token", Name: "viewer", Labels: map[string]*string{"n": &n}}
		_, err := store.Change(ctx, c, adminActor, false)
		s.is.NoErr(err)
	}
	n, err := store.Prune(ctx, 24*time.Hour)
	s.is.NoErr(err)
	s.is.Equal(n, 0) // all records are within the retention
	n, err = store.Prune(ctx, time.Hour)
	s.is.NoErr(err)
	s.is.Equal(n, 62) // 562 revisions, of which the newest 500 stay
	// The watcher needs log records that were pruned, so it scans all objects.
	s.is.NoErr(s.watcher.Poll(ctx))
	var at oleandervalve.Revision
	s.watcher.WithReplica(func(r *operator.Replica) { at = r.Revision() })
	s.is.Equal(at, oleandervalve.Revision(maxLogRows+62))

	done := make(chan struct{})
	go func() { s.watcher.Run(ctx); close(done) }()
	s.is.NoErr(s.clock.BlockUntilContext(ctx, 1))
	<-s.watcher.Changed() // sent by the Poll above
	x := "y"
	_, err = store.Change(ctx, operator.Change{ID: "change-last", Verb: operator.VerbLabel, Kind: "token", Name: "viewer", Labels: map[string]*string{"x": &x}}, adminActor, false)
	s.is.NoErr(err)
	s.clock.Advance(PollInterval)
	<-s.watcher.Changed()
	cancel()
	<-done
	s.watcher.WithReplica(func(r *operator.Replica) { at = r.Revision() })
	s.is.Equal(at, oleandervalve.Revision(maxLogRows+63))
}
