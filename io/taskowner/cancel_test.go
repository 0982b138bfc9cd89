package taskowner

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
)

// interceptedTable calls a function before it commits the cancellation of a job.
type interceptedTable struct {
	oleandervalve.Table
	before func()
}

func (t *interceptedTable) Commit(ctx context.Context, x oleandervalve.Transaction) (oleandervalve.Committed, error) {
	if len(x.Puts) > 0 && x.Puts[0].Key == job.RowKey("dawn") && t.before != nil {
		t.before()
	}
	return t.Table.Commit(ctx, x)
}

// Guards against a conflict reported to a caller whose job was cancelled through another entry at the same moment.
func TestCancellationsThroughTwoEntriesAtOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	server, err := standin.Serve("127.0.0.1:0", standin.NewTable(clock, 1).Handler())
	is.NoErr(err)
	t.Cleanup(server.Close)
	client := tablehttp.NewClient(server.URL, 10*time.Second)
	x := &interceptedTable{Table: client}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := New("entry-0", "", x, nil, &messages{}, WithLog(logrus.NewEntry(log)), WithClock(clock))
	t.Cleanup(o.Close)
	_, err = client.Commit(ctx, job.Create("submission", job.Header{Job: "dawn", Team: "cutters"}, []job.Record{{Spec: oleandervalve.TaskSpec{Task: "dawn/0"}}}))
	is.NoErr(err)
	x.before = func() {
		rows, err := client.Get(ctx, job.RowKey("dawn"))
		is.NoErr(err)
		stored, err := job.ParseJob(rows[0])
		is.NoErr(err)
		_, err = client.Commit(ctx, stored.Cancel("by another entry", "entry-1", job.ReasonJobCancelled))
		is.NoErr(err)
		x.before = nil
	}
	is.NoErr(o.Cancel(ctx, "dawn", "cutters"))
}
