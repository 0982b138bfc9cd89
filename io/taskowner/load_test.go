package taskowner

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/lease"
	"oleandervalve/core/table"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
)

// slowScan holds back the result of the first scan with a prefix.
type slowScan struct {
	oleandervalve.Table
	prefix          oleandervalve.Key
	once            sync.Once
	scanned, result chan struct{}
}

func (t *slowScan) Scan(ctx context.Context, prefix, after oleandervalve.Key, limit int) (oleandervalve.Page, error) {
	p, err := t.Table.Scan(ctx, prefix, after, limit)
	if prefix == t.prefix {
		t.once.Do(func() {
			close(t.scanned)
			<-t.result
		})
	}
	return p, err
}

// Guards against an accepted job that is never placed because its shard was loaded from rows that were read before the shard was lost and acquired again.
func TestShardIsLoadedFromRowsOfItsPresentOwnership(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	i := job.ShardOf("dawn")
	clock := clockwork.NewFakeClock()
	server, err := standin.Serve("127.0.0.1:0", standin.NewTable(clock, 1).Handler())
	is.NoErr(err)
	t.Cleanup(server.Close)
	client := tablehttp.NewClient(server.URL, 10*time.Second)
	slow := &slowScan{Table: client, prefix: job.TaskPrefix(i), scanned: make(chan struct{}), result: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := New("entry-0", "", slow, nil, &messages{}, WithLog(logrus.NewEntry(log)), WithClock(clock), WithUptime(nil),
		WithLimits(table.Limits{Reads: 1e6, Writes: 1e6}))
	t.Cleanup(o.Close)
	wait := func(ready func() bool) {
		for {
			o.scan()
			o.tick()
			o.mu.Lock()
			ok := ready()
			o.mu.Unlock()
			if ok {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	wait(func() bool {
		select {
		case <-slow.scanned:
			return true
		default:
			return false
		}
	})

	// Another entry acquires the shard, accepts the job and releases the shard.
	k := lease.ShardKey(lease.TaskShards, i)
	write := func(v lease.ShardRow) {
		rows, err := client.Get(ctx, k)
		is.NoErr(err)
		b, err := json.Marshal(v)
		is.NoErr(err)
		_, err = client.Commit(ctx, oleandervalve.Transaction{
			ID: oleandervalve.MutationID(v.Session), Conditions: []oleandervalve.Condition{{Key: k, Version: rows[0].Version}},
			Puts: []oleandervalve.Put{{Key: k, Value: b}},
		})
		is.NoErr(err)
	}
	write(lease.ShardRow{Owner: "entry-1", Session: "other", Token: 2})
	spec := oleandervalve.TaskSpec{Task: "dawn/0", Size: oleandervalve.Resources{CPU: 1000, Memory: 1 << 20}}
	_, err = client.Commit(ctx, job.Create("submission", job.Header{Job: "dawn"}, []job.Record{{Spec: spec}}))
	is.NoErr(err)
	write(lease.ShardRow{Token: 3})
	wait(func() bool { return o.holds(i) })
	close(slow.result)

	var found bool
	wait(func() bool {
		if s := o.shards[i]; s != nil {
			_, found = s.Task("dawn/0")
			return true
		}
		return false
	})
	is.True(found)
}
