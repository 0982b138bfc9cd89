package executor

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// logBuffer is a log in memory.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// lines returns the fields of the lines with a text.
func (b *logBuffer) lines(text string) (out []map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range strings.Split(b.out.String(), "\n") {
		var fields map[string]any
		if json.Unmarshal([]byte(s), &fields) == nil && fields["msg"] == text {
			out = append(out, fields)
		}
	}
	return out
}

// Guards against a start order that waits at its agent without a trace of what it waits for.
func TestWithheldStartsAreLogged(t *testing.T) {
	for _, tt := range []struct {
		name string
		// withhold keeps start orders from being sent.
		withhold func(l *cutLeader, s *session)
		want     withholding
	}{
		{"proof too old", func(l *cutLeader, _ *session) { l.cut(3 * time.Second) }, withheldByProof},
		{"no start slot", func(_ *cutLeader, s *session) {
			for range maxParallelStarts {
				s.startSlots <- struct{}{}
			}
		}, withheldBySlots},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := newCutLeader()
			a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Uptime: l.uptime, Executor: &fakeExecutor{}, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
			var log logBuffer
			logger := logrus.New()
			logger.SetOutput(&log)
			logger.SetFormatter(&logrus.JSONFormatter{})
			a.options.Log = logrus.NewEntry(logger)
			metrics := tally.NewTestScope("", nil)
			a.proofAgeMetrics = newProofAgeMetrics(metrics)
			is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
			l.lead(t, a)
			conn := <-l.conns
			s := a.awaitSession()
			s.awaitProof()
			tt.withhold(l, s)
			k := runKey{oleandervalve.TaskName{Job: "waiting"}, 1}
			conn.TrySend(&peer.StartRun{Start: dispatch.Start{Executor: s.status.Incarnation, Task: k.task, Run: k.run, Hints: dispatch.RunHints{CPU: 2000}}})
			for len(log.lines("start order is withheld")) == 0 {
				time.Sleep(time.Millisecond)
			}
			// Nothing is logged a second time while further pongs arrive.
			for len(l.answered) > 0 {
				<-l.answered
			}
			for range 2 {
				<-l.answered
			}
			lines := log.lines("start order is withheld")
			is.Equal(len(lines), 1)
			is.Equal(lines[0]["reason"], string(tt.want))
			is.Equal(lines[0]["job"], "waiting")
			is.True(lines[0]["waitedMs"].(float64) >= 1000)
			samples := map[string]int64{}
			for _, h := range metrics.Snapshot().Histograms() {
				for _, n := range h.Durations() {
					samples[h.Tags()["at"]] += n
				}
			}
			is.True(samples["start"] > 0)
			is.True(samples["pong"] > 0)
			s.end("test is over")
			for len(log.lines("age of the proofs of leadership")) == 0 {
				time.Sleep(time.Millisecond)
			}
			last := log.lines("age of the proofs of leadership")[0]
			is.Equal(last["late"].(float64) > 0, tt.want == withheldByProof)
		})
	}
}
