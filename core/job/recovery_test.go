package job

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/lease"
)

// Guards against tasks that wait longer than the settings allow after their
// worker, its agent or the shard's owner has failed. Times are simulated.
func TestRecoveryTime(t *testing.T) {
	const entryScan = 2 * time.Second // interval of the scan for free shards
	for _, c := range []struct {
		name    string
		agents  []int
		entries []int
		// afterLoss is called every two seconds after the failure and reports
		// whether the first agent is back.
		afterLoss func(cl *cluster, since time.Duration) bool
		limit     time.Duration
	}{
		{
			"worker terminated, confirmed by the platform after 5 s",
			[]int{1},
			[]int{0},
			func(cl *cluster, d time.Duration) bool {
				if d == 5*time.Second {
					for _, p := range cl.agents[0].tasks {
						p.state = oleandervalve.PlatformStopped
					}
					cl.fromShard(0)(cl.shards[0].WorkerTerminated(cl.now, "w0"), nil)
				}
				return false
			},
			5*time.Second + 4*time.Second,
		},
		{
			"worker without heartbeats until its lease and the guard have passed",
			[]int{1},
			[]int{0},
			func(cl *cluster, _ time.Duration) bool {
				cl.tryTakeover(0, cl.agents[0])
				return false
			},
			lease.WorkerTTL + lease.Guard + 4*time.Second,
		},
		{
			"agent failed, restarted after 61 s, tasks stopped by the platform lease",
			[]int{1},
			[]int{0},
			func(cl *cluster, d time.Duration) bool {
				if d == 61*time.Second {
					cl.startAgent(cl.agents[0])
				}
				return d >= 61*time.Second
			},
			61*time.Second + 8*time.Second,
		},
		{
			"owner of the shard failed while an assignment is in flight",
			[]int{0, 1},
			[]int{},
			func(cl *cluster, d time.Duration) bool {
				if d == lease.SessionTTL+entryScan {
					cl.rebuild(1)
				}
				if d >= lease.SessionTTL+entryScan {
					cl.fromShard(1)(cl.shards[1].Tick(cl.now), nil)
				}
				return true
			},
			lease.SessionTTL + entryScan + 4*time.Second,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(1, 2)
			// One worker runs both tasks, so that its failure affects both.
			cl.shards[0].chooser = &chooser{agents: 1}
			cl.shards[1] = NewShard(1, "idle", "e1.idle", &chooser{agents: 2}, DefaultSettings)
			if len(c.entries) == 0 {
				cl.fromShard(0)(cl.shards[0].Tick(cl.now), nil)
				for len(cl.inFlight) > 0 { // up to the commit of the assignments, without the starts
					op := cl.inFlight[0]
					cl.inFlight = cl.inFlight[1:]
					if _, ok := op.action.(Start); !ok {
						cl.perform(op)
					}
				}
			} else {
				for range 3 {
					cl.runSecond([]int{0, 1}, []int{0})
				}
				is.Equal(cl.runningOn(0), 2)
			}
			cl.shards[0].chooser = &chooser{agents: 2}
			start := cl.now
			initialRuns := map[Run]bool{}
			for run := range cl.agents[0].tasks {
				initialRuns[run] = true
			}
			agents := c.agents
			for cl.now.Sub(start) < 2*lease.WorkerTTL {
				cl.runSecond(agents, c.entries)
				if c.afterLoss(cl, cl.now.Sub(start)) {
					agents = []int{0, 1}
				}
				cl.runSecond(agents, c.entries) // performs the resulting operations, one second later
				n := 0
				for _, a := range cl.agents {
					for run, p := range a.tasks {
						if p.state == oleandervalve.PlatformRunning && !initialRuns[run] {
							n++
						}
					}
				}
				if n == 2 {
					break
				}
			}
			t.Logf("running again after %s, limit %s", cl.now.Sub(start), c.limit)
			is.Equal(cl.violation, "")
			is.True(cl.now.Sub(start) <= c.limit)
		})
	}
}

func (cl *cluster) runningOn(i int) (n int) {
	for _, p := range cl.agents[i].tasks {
		if p.state == oleandervalve.PlatformRunning {
			n++
		}
	}
	return n
}
