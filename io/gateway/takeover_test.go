package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/work"
	"oleandervalve/io/leader"
)

// slowTable is an in-memory table that takes jobsDelay for each read of the jobs.
type slowTable struct {
	jobsDelay time.Duration

	mu      sync.Mutex
	rows    map[oleandervalve.Key]oleandervalve.Row
	version oleandervalve.Version
}

func (t *slowTable) Get(_ context.Context, keys ...oleandervalve.Key) ([]oleandervalve.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []oleandervalve.Row
	for _, k := range keys {
		r := t.rows[k]
		r.Key = k
		out = append(out, r)
	}
	return out, nil
}

func (t *slowTable) Scan(ctx context.Context, prefix, _ oleandervalve.Key, _ int) (oleandervalve.Page, error) {
	if prefix == work.SpecPrefix || prefix == work.RecordPrefix {
		select {
		case <-ctx.Done():
			return oleandervalve.Page{}, &oleandervalve.UnavailableError{Service: "table", Cause: ctx.Err()}
		case <-time.After(t.jobsDelay):
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := oleandervalve.Page{Version: t.version, At: time.Now()}
	for k, r := range t.rows {
		if strings.HasPrefix(string(k), string(prefix)) {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

func (t *slowTable) Commit(_ context.Context, x oleandervalve.Transaction) (oleandervalve.Committed, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range x.Conditions {
		if r := t.rows[c.Key]; r.Version != c.Version {
			r.Key = c.Key
			return oleandervalve.Committed{}, &oleandervalve.ConflictError{Key: c.Key, Expected: c.Version, Current: r}
		}
	}
	t.version++
	out := oleandervalve.Committed{At: time.Now()}
	for _, p := range x.Puts {
		t.rows[p.Key] = oleandervalve.Row{Key: p.Key, Value: p.Value, Version: t.version}
		out.Versions = append(out.Versions, t.version)
	}
	return out, nil
}

func (t *slowTable) Watch(ctx context.Context, _ oleandervalve.Key, after oleandervalve.Version, wait time.Duration) (oleandervalve.Changes, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return oleandervalve.Changes{Next: after}, nil
}

// leaderRow returns the leader's row.
func (t *slowTable) leaderRow() leader.Row {
	rows, _ := t.Get(context.Background(), leader.Key)
	row, _ := leader.DecodeRow(rows[0])
	return row
}

// startEntry starts an entry on the table and returns it.
func startEntry(t *testing.T, x *slowTable, n int) *Gateway {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := httptest.NewUnstartedServer(nil)
	g := New(Options{
		ID: oleandervalve.EntryID(fmt.Sprintf("e-%d", n)), Process: "p", Address: server.Listener.Addr().String(), CPUShare: 1,
		Table: x, Clock: oleandervalve.SystemClock(), Log: logrus.NewEntry(log), Scope: tally.NoopScope,
		ConfigurationKey: "config/main/config", Retention: time.Minute,
	})
	server.Config.Handler = g.Handler()
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
	})
	return g
}

// Guards against entries that replace each other for ever because loading the jobs takes longer
// than the lease of a leader.
func TestTakeoverWithSlowLoadCompletes(t *testing.T) {
	is := is.New(t)
	x := &slowTable{jobsDelay: leaderLease * 3 / 4, rows: map[oleandervalve.Key]oleandervalve.Row{}}
	var entries []*Gateway
	for n := range 3 {
		entries = append(entries, startEntry(t, x, n))
	}
	following := func() int {
		n := 0
		for _, g := range entries {
			g.mu.Lock()
			if g.upstream != nil {
				n++
			}
			g.mu.Unlock()
		}
		return n
	}
	const maxTerms = 6
	for following() < len(entries) && x.leaderRow().Term < maxTerms {
		time.Sleep(20 * time.Millisecond)
	}
	row := x.leaderRow()
	t.Logf("term %d, renewal %d", row.Term, row.Renewal)
	is.Equal(following(), len(entries))
}
