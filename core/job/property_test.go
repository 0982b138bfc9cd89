package job

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandervalve"
)

// TestMain sets a fixed seed for the property tests, so that a run can be
// repeated. -rapid.seed and -rapid.checks override the seed and the number of
// cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	debug.SetGCPercent(800) // the exploration allocates many small objects
	os.Exit(m.Run())
}

// Guards against interleavings of pauses, restarts, lost answers, delayed and
// repeated messages, cancellations and evictions that run a task in two places,
// start an epoch twice, resume an eviction twice, report notRun wrongly or exceed
// the capacity of a worker, and against those that leave a task stuck or a result
// unacknowledged after the faults end.
func TestRandomInterleavings(t *testing.T) {
	total := map[string]int{}
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		// The choices are drawn uniformly by a seeded generator. Rapid's own
		// generators favour small values, which would shorten the runs and favour the
		// oldest messages.
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		cl := newCluster(2, 3)
		for _, k := range []string{"repeat", "drop", "lost", "evict", "suspect", "end"} {
			cl.budget[k] = r.IntN(9)
		}
		for _, k := range []string{"rebuild", "restart", "expire", "long"} {
			cl.budget[k] = r.IntN(3)
		}
		cl.budget["short"], cl.budget["heartbeat"], cl.budget["cancel"] = 1000, 1000, r.IntN(2)
		for n := 200 + r.IntN(400); n > 0 && cl.violation == ""; n-- {
			list := cl.events()
			// Most choices are events without a fault; otherwise few tasks would ever
			// finish. Evictions are favoured, since few tasks run at any time.
			switch kind := r.IntN(10); {
			case kind < 6:
				list = eventsOfKind(list, "")
			case kind == 6:
				list = eventsOfKind(list, "evict")
			}
			if len(list) > 0 {
				cl.apply(list[r.IntN(len(list))])
			}
		}
		both := []int{0, 1}
		for n := 0; n < 1200 && cl.violation == "" && !cl.allTasksDone(); n++ {
			cl.runSecond(both, both)
			for _, a := range cl.agents {
				for _, p := range a.tasks {
					if n%10 == 9 && p.state == oleandervalve.PlatformRunning {
						p.state = oleandervalve.PlatformFinished
					}
				}
			}
		}
		if cl.violation == "" && !cl.allTasksDone() {
			cl.recordViolation("tasks not done: %s", cl.dumpRows())
		}
		for range 40 {
			cl.runSecond(both, both)
		}
		for _, a := range cl.agents {
			if cl.violation == "" && !a.runner.Idle() {
				cl.recordViolation("worker %s keeps %d runs", a.name, len(a.runner.runs))
			}
		}
		for k, row := range cl.rows {
			if s, err := ParseTask(row); err == nil && strings.HasPrefix(string(k), "tasks/") {
				n := 0
				for run := range cl.evicted {
					if run.Task == s.Task() {
						n++
					}
				}
				if s.Evictions != n {
					cl.recordViolation("task %s was evicted %d times, counted %d", s.Task(), n, s.Evictions)
				}
			}
		}
		if cl.violation != "" {
			rt.Fatal(cl.violation)
		}
		runs++
		total["starts"] += len(cl.starts)
		total["evictions"] += len(cl.evicted)
		total["resumed"] += len(cl.resumed)
		total["notRun"] += len(cl.notRun)
	})
	t.Logf("%d interleavings: %v", runs, total)
	is := is.New(t)
	is.True(total["starts"] > 0 && total["evictions"] > 0 && total["resumed"] > 0 && total["notRun"] > 0) // every case occurred
}

// eventsOfKind returns the events of one kind.
func eventsOfKind(list []event, fault string) (kept []event) {
	for _, e := range list {
		if e.fault == fault {
			kept = append(kept, e)
		}
	}
	return kept
}

// allTasksDone reports whether every task is in a terminal state or parked.
func (cl *cluster) allTasksDone() bool {
	for k, row := range cl.rows {
		if !strings.HasPrefix(string(k), "tasks/") {
			continue
		}
		s, err := ParseTask(row)
		g, _ := ParseJob(cl.rows[RowKey(s.Job)])
		if v := ViewOf(s.Record, g.Header); err != nil || !v.State.Terminal() && v.State != StateParked {
			return false
		}
	}
	return true
}

func (cl *cluster) dumpRows() string {
	var b strings.Builder
	for _, k := range sortedKeys(cl.rows) {
		fmt.Fprintf(&b, "%s %s\n", k, cl.rows[k].Value)
	}
	return b.String()
}
