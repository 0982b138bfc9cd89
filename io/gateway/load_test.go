package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
	"oleandervalve/core/work"
	"oleandervalve/io/gateway"
	"oleandervalve/io/leader"
	"oleandervalve/platform"
	"oleandervalve/platform/emulator"
)

// storedJobs is the number of ended jobs of two minutes, for which they are kept.
const storedJobs = 3000

// startEntry starts an entry on a table.
func startEntry(t *testing.T, id oleandervalve.EntryID, table gateway.Table) *gateway.Gateway {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := httptest.NewUnstartedServer(nil)
	g := gateway.New(gateway.Options{
		ID: id, Process: string(id), Address: server.Listener.Addr().String(), CPUShare: 1, Table: table,
		Clock: oleandervalve.SystemClock(), Log: logrus.NewEntry(log), Scope: tally.NoopScope,
		ConfigurationKey: platform.ConfigurationKey, Decode: platform.DecodeConfiguration, Retention: time.Minute,
	})
	server.Config.Handler = g.Handler()
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended; server.CloseClientConnections() })
	return g
}

// Guards against entries that replace one another before any of them has loaded the jobs, as
// long as the table is slow: loading took longer than a leader may leave its row unchanged.
func TestLeaderIsNotReplacedWhileItLoadsJobs(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(1)
	server := httptest.NewServer(table.Handler())
	t.Cleanup(server.CloseClientConnections)
	table.Put("op", "", "config", emulator.RouteConfig(1, "x.example", "/q/", "s"))
	for n := range storedJobs {
		table.Put("jobs", "main", fmt.Sprintf("%016x", n), work.Encode(work.Record{State: work.Completed}))
	}
	table.SetFault(emulator.TableSlow)
	var entries []*gateway.Gateway
	for n := range 5 {
		entries = append(entries, startEntry(t, oleandervalve.EntryID(fmt.Sprintf("e-%d", n)), platform.NewTableClient(server.Listener.Addr().String())))
	}
	ready := func() int {
		n := 0
		for _, g := range entries {
			if g.NotReadyReason() == "" {
				n++
			}
		}
		return n
	}
	started := time.Now()
	for limit := started.Add(30 * time.Second); time.Now().Before(limit) && ready() < len(entries); {
		time.Sleep(10 * time.Millisecond)
	}
	var row leader.Row
	is.NoErr(work.Decode(oleandervalve.Row{Key: leader.Key, Value: table.Value("leader", "main", "leader")}, &row))
	t.Logf("%d entries ready after %s, term %d", ready(), time.Since(started), row.Term)
	is.Equal(ready(), len(entries))
	is.Equal(row.Term, uint64(1))
}
