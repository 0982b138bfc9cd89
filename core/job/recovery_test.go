package job

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/lease"
)

// Guards against tasks that wait longer than the settings allow after their
// worker, its agent or the shard's owner is lost. Times are on the fake clock.
func TestTimeToRecover(t *testing.T) {
	const entryScan = 2 * time.Second // interval of the scan for free shards
	for _, c := range []struct {
		name    string
		agents  []int
		entries []int
		// lose is called every two seconds after the loss and reports whether the
		// first agent is back.
		lose  func(w *world, since time.Duration) bool
		limit time.Duration
	}{
		{
			"worker gone, confirmed by the platform after 5 s",
			[]int{1},
			[]int{0},
			func(w *world, d time.Duration) bool {
				if d == 5*time.Second {
					for _, p := range w.agents[0].tasks {
						p.state = oleandervalve.PlatformStopped
					}
					w.fromShard(0)(w.shards[0].WorkerGone(w.now, "w0"), nil)
				}
				return false
			},
			5*time.Second + 4*time.Second,
		},
		{
			"worker silent until its lease and the guard have passed",
			[]int{1},
			[]int{0},
			func(w *world, _ time.Duration) bool {
				w.loseWorker(0, w.agents[0])
				return false
			},
			lease.WorkerLease + lease.Guard + 4*time.Second,
		},
		{
			"agent lost, restarted after 61 s, tasks stopped by the platform lease",
			[]int{1},
			[]int{0},
			func(w *world, d time.Duration) bool {
				if d == 61*time.Second {
					w.boot(w.agents[0])
				}
				return d >= 61*time.Second
			},
			61*time.Second + 8*time.Second,
		},
		{
			"owner of the shard lost while an assignment is on its way",
			[]int{0, 1},
			[]int{},
			func(w *world, d time.Duration) bool {
				if d == lease.SessionLease+entryScan {
					w.rebuild(1)
				}
				if d >= lease.SessionLease+entryScan {
					w.fromShard(1)(w.shards[1].Tick(w.now), nil)
				}
				return true
			},
			lease.SessionLease + entryScan + 4*time.Second,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, 2)
			// One worker takes both tasks, so that its loss concerns all.
			w.shards[0].chooser = &chooser{agents: 1}
			w.shards[1] = NewShard(1, "idle", "e1.idle", &chooser{agents: 2}, DefaultSettings)
			if len(c.entries) == 0 {
				w.fromShard(0)(w.shards[0].Tick(w.now), nil)
				for len(w.items) > 0 { // up to the commit of the assignments
					n := w.items[0]
					w.items = w.items[1:]
					if _, ok := n.act.(Start); !ok {
						w.perform(n)
					}
				}
			} else {
				for range 3 {
					w.pass([]int{0, 1}, []int{0})
				}
				is.Equal(w.runningOn(0), 2)
			}
			w.shards[0].chooser = &chooser{agents: 2}
			start := w.now
			lost := map[Run]bool{}
			for run := range w.agents[0].tasks {
				lost[run] = true
			}
			agents := c.agents
			for w.now.Sub(start) < 2*lease.WorkerLease {
				w.pass(agents, c.entries)
				if c.lose(w, w.now.Sub(start)) {
					agents = []int{0, 1}
				}
				w.pass(agents, c.entries) // what follows from it, one second later
				n := 0
				for _, a := range w.agents {
					for run, p := range a.tasks {
						if p.state == oleandervalve.PlatformRunning && !lost[run] {
							n++
						}
					}
				}
				if n == 2 {
					break
				}
			}
			t.Logf("running again after %s, limit %s", w.now.Sub(start), c.limit)
			is.Equal(w.violation, "")
			is.True(w.now.Sub(start) <= c.limit)
		})
	}
}

func (w *world) runningOn(i int) (n int) {
	for _, p := range w.agents[i].tasks {
		if p.state == oleandervalve.PlatformRunning {
			n++
		}
	}
	return n
}
