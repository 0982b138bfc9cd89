package taskowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/lease"
	"oleandervalve/core/scheduler"
	"oleandervalve/core/table"
)

// Guards against questions about silent workers that flood the platform while
// a region is cut off, and against a wait that outlives the silence.
func TestQuestionsAboutSilentWorkersBackOff(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	o := &Owner{suspicion: lease.NewFailureDetector(lease.SuspectAfter), workers: map[oleandervalve.WorkerID]*workerView{}}
	for i := range 350 {
		id := oleandervalve.WorkerID(fmt.Sprint("w", i))
		o.workers[id] = &workerView{}
		o.suspicion.HeartbeatReceived(start, id)
	}
	is.Equal(len(o.dueSuspects(start)), 0)
	asked := 0
	for i := range 120 {
		n := len(o.dueSuspects(start.Add(lease.SuspectAfter + time.Duration(i+1)*suspectScan)))
		if i == 0 {
			is.Equal(n, 350) // a worker that has just fallen silent is asked about at once
		}
		asked += n
	}
	is.Equal(asked, 350*(5+6)) // after 0, 1, 3, 7 and 15 s, then every 16 s up to 111 s

	back := start.Add(time.Hour)
	o.suspicion.HeartbeatReceived(back, "w1")
	o.dueSuspects(back)
	is.Equal(o.workers["w1"].wait, time.Duration(0)) // a worker that is heard again starts anew
}

// Guards against entries that each use the whole table budget.
func TestSharedLimitsFollowTheLiveEntries(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_800_000_000, 0)
	page := oleandervalve.Page{At: at, Rows: []oleandervalve.Row{
		{Key: "entries/a", WrittenAt: at.Add(-time.Second)},
		{Key: "entries/b", WrittenAt: at.Add(-lease.SessionTTL)}, // expired
		{Key: "entries/c", WrittenAt: at.Add(-lease.SessionRenewInterval)},
	}}
	is.Equal(liveEntries(page), 2)
	o := &Owner{}
	WithSharedLimits(table.Limits{Writes: 300, Reads: 1500})(o)
	is.True(o.shared)
	is.Equal(o.limits.Share(liveEntries(page)), table.Limits{Writes: 150, Reads: 750})
	WithLimits(table.Limits{Writes: 100})(o)
	is.True(!o.shared) // a share that was set is not divided again
}

// Guards against shards that never have their turn, and against a placement
// that waits for the turn of its shard.
func TestShardsTakeTurns(t *testing.T) {
	is := is.New(t)
	o := &Owner{placer: newPlacer(scheduler.DefaultConfig(), nil), due: map[oleandervalve.ShardID]bool{}}
	o.placer.log = logrus.NewEntry(logrus.New())
	turns := map[oleandervalve.ShardID]int{}
	for range 3 * shardTurns {
		o.ticks++
		for i := range oleandervalve.ShardID(job.Shards) {
			if o.turn(i) {
				turns[i]++
			}
		}
	}
	is.Equal(len(turns), job.Shards)
	for _, n := range turns {
		is.Equal(n, 3)
	}
	i := job.ShardOf("dawn")
	o.decide(time.Unix(1_800_000_000, 0), []scheduler.Decision{{Action: scheduler.Place, Job: "dawn", Task: "dawn/0", Worker: "w"}})
	for o.ticks++; int(i)%shardTurns == o.ticks%shardTurns; o.ticks++ {
	}
	is.True(o.turn(i))  // the next tick, although it is not the shard's
	is.True(!o.turn(i)) // once
}
