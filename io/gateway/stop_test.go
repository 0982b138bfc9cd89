package gateway_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/work"
	"oleandervalve/io/gateway"
	"oleandervalve/io/leader"
	"oleandervalve/platform"
	"oleandervalve/platform/emulator"
)

// heldTable holds the first commit until it is released.
type heldTable struct {
	gateway.Table
	committing, release chan struct{}
}

func (t *heldTable) Commit(ctx context.Context, x oleandervalve.Transaction) (oleandervalve.Committed, error) {
	select {
	case t.committing <- struct{}{}:
		<-t.release
	default:
	}
	return t.Table.Commit(ctx, x)
}

// Guards against an entry that becomes the leader after its planned stop has begun, and leads
// until its process ends without a word: the stop released only a term that had begun.
func TestTakeoverDuringPlannedStopIsReleased(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(1)
	server := httptest.NewServer(table.Handler())
	t.Cleanup(server.CloseClientConnections)
	x := &heldTable{Table: platform.NewTableClient(server.Listener.Addr().String()), committing: make(chan struct{}, 1), release: make(chan struct{})}
	g := startEntry(t, "e-1", x)
	for len(x.committing) == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); g.Stop(context.Background()) }()
	for g.NotReadyReason() != "process is stopping" {
		time.Sleep(time.Millisecond)
	}
	close(x.release)
	<-stopped
	var row leader.Row
	is.NoErr(work.Decode(oleandervalve.Row{Key: leader.Key, Value: table.Value("leader", "main", "leader")}, &row))
	is.Equal(row.Entry, oleandervalve.EntryID("e-1"))
	is.True(row.Released)
}
