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

// Guards against overloading the platform with queries about suspect workers while
// a region is disconnected, and against a backoff that is kept after the worker's
// heartbeats have resumed.
func TestPlatformQueriesAboutSuspectWorkersBackOff(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	o := &Owner{suspicion: lease.NewFailureDetector(lease.SuspectAfter), workers: map[oleandervalve.WorkerID]*workerInfo{}}
	for i := range 350 {
		id := oleandervalve.WorkerID(fmt.Sprint("w", i))
		o.workers[id] = &workerInfo{}
		o.suspicion.HeartbeatReceived(start, id)
	}
	is.Equal(len(o.suspectsToQuery(start)), 0)
	queries := 0
	for i := range 120 {
		n := len(o.suspectsToQuery(start.Add(lease.SuspectAfter + time.Duration(i+1)*suspectInterval)))
		if i == 0 {
			is.Equal(n, 350) // the first query about a suspect worker is not delayed
		}
		queries += n
	}
	is.Equal(queries, 350*(5+6)) // after 0, 1, 3, 7 and 15 s, then every 16 s up to 111 s

	heardAgain := start.Add(time.Hour)
	o.suspicion.HeartbeatReceived(heardAgain, "w1")
	o.suspectsToQuery(heardAgain)
	is.Equal(o.workers["w1"].queryBackoff, time.Duration(0)) // a heartbeat resets the backoff
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
	is.True(o.sharedLimits)
	is.Equal(o.limits.Share(liveEntries(page)), table.Limits{Writes: 150, Reads: 750})
	WithLimits(table.Limits{Writes: 100})(o)
	is.True(!o.sharedLimits) // a fixed share is not divided
}

// Guards against shards that are never ticked, and against a placement that has to
// wait for the regular tick of its shard.
func TestShardsAreTickedInTurn(t *testing.T) {
	is := is.New(t)
	o := &Owner{placer: newPlacer(scheduler.DefaultConfig(), nil), tickNext: map[oleandervalve.ShardID]bool{}}
	o.placer.log = logrus.NewEntry(logrus.New())
	tickCounts := map[oleandervalve.ShardID]int{}
	for range 3 * shardTickPeriod {
		o.ticks++
		for i := range oleandervalve.ShardID(job.Shards) {
			if o.isTickDue(i) {
				tickCounts[i]++
			}
		}
	}
	is.Equal(len(tickCounts), job.Shards)
	for _, n := range tickCounts {
		is.Equal(n, 3)
	}
	i := job.ShardOf("dawn")
	o.applyDecisions(time.Unix(1_800_000_000, 0), []scheduler.Decision{{Action: scheduler.Place, Job: "dawn", Task: "dawn/0", Worker: "w"}})
	for o.ticks++; int(i)%shardTickPeriod == o.ticks%shardTickPeriod; o.ticks++ {
	}
	is.True(o.isTickDue(i))  // ticked because of the placement, outside the regular period
	is.True(!o.isTickDue(i)) // tickNext is reset
}
