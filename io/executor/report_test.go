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
	"oleandervalve/core/leasebound"
	"oleandervalve/io/peer"
)

// Guards against tasks that stay assigned with nothing running, because the report that a run has
// ended or never started was dropped while the leader did not read.
func TestReportThatCannotBeSentEndsTheSession(t *testing.T) {
	key := runKey{oleandervalve.TaskName{Job: "j"}, 1}
	for _, tt := range []struct {
		name   string
		report func(*session)
	}{
		{"run never started", func(s *session) { s.reportNeverStarted(key, oleandervalve.RefusedOld) }},
		{"run has ended", func(s *session) {
			s.sendEnds(peer.RunsEnded{Ends: []oleandervalve.EndedTask{{Number: 1, Task: key.task, Run: 1, How: oleandervalve.EndDone}}})
		}},
		{"executor has ended", func(s *session) { s.executorEnded() }},
		{"executor is lost", (*session).reportLost},
		{"status", func(s *session) { s.reportStatus(statusWith(16, 1)) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			meter := peer.NewMeter(tally.NoopScope)
			done := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c, _, err := peer.AcceptDispatch(w, r, meter)
				if err == nil {
					<-done // does not read
					c.Close()
				}
			}))
			defer server.Close()
			defer close(done)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			c, err := peer.DialDispatch(ctx, strings.TrimPrefix(server.URL, "http://"), peer.Join{Agent: "a-1"}, meter)
			is.NoErr(err)
			defer c.Close()
			s := newSession(oleandervalve.SystemClock())
			s.agent.crashes = newCrashLog(oleandervalve.SystemClock())
			s.agent.unanswered = newUnansweredStarts(leasebound.Limits{}, oleandervalve.SystemClock(), true)
			s.agent.options.Scope = tally.NoopScope
			s.conn, s.cancel = c, cancel
			large := &peer.Redirect{Leader: strings.Repeat("x", 30_000)}
			for full := false; !full; {
				for c.TrySend(large) {
				}
				time.Sleep(20 * time.Millisecond) // the queue stays full once the socket takes no more
				full = !c.TrySend(large)
			}
			tt.report(s)
			is.True(context.Cause(ctx) != nil) // the session has ended
		})
	}
}
