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

// TestMain fixes the seed of the property tests, so that a run can be repeated;
// -rapid.seed and -rapid.checks choose others.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	debug.SetGCPercent(800) // the exploration makes many small copies
	os.Exit(m.Run())
}

// Guards against any interleaving of pauses, restarts, lost answers, delayed
// and repeated messages, cancels and evictions that runs a task in two places,
// starts an epoch or resumes an eviction twice, reports notRun falsely,
// overfills a worker, or leaves a task stuck or a result unacknowledged once
// the faults end.
func TestRandomInterleavings(t *testing.T) {
	total := map[string]int{}
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		// The choices are drawn evenly from a seed: rapid's own ranges favour small
		// values, which would shorten the runs and favour the oldest messages.
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		w := newWorld(2, 3)
		for _, k := range []string{"repeat", "drop", "lost", "evict", "suspect", "end"} {
			w.budget[k] = r.IntN(9)
		}
		for _, k := range []string{"rebuild", "restart", "expire", "long"} {
			w.budget[k] = r.IntN(3)
		}
		w.budget["short"], w.budget["heartbeat"], w.budget["cancel"] = 1000, 1000, r.IntN(2)
		for n := 200 + r.IntN(400); n > 0 && w.violation == ""; n-- {
			list := w.events()
			// Most choices are of what is under way, or little would ever finish,
			// and evictions are favoured, since few tasks run at any time.
			switch kind := r.IntN(10); {
			case kind < 6:
				list = only(list, "")
			case kind == 6:
				list = only(list, "evict")
			}
			if len(list) > 0 {
				w.happen(list[r.IntN(len(list))])
			}
		}
		both := []int{0, 1}
		for n := 0; n < 1200 && w.violation == "" && !w.settled(); n++ {
			w.pass(both, both)
			for _, a := range w.agents {
				for _, p := range a.tasks {
					if n%10 == 9 && p.state == oleandervalve.PlatformRunning {
						p.state = oleandervalve.PlatformFinished
					}
				}
			}
		}
		if w.violation == "" && !w.settled() {
			w.fail("not settled: %s", w.states())
		}
		for range 40 {
			w.pass(both, both)
		}
		for _, a := range w.agents {
			if w.violation == "" && !a.runner.Idle() {
				w.fail("worker %s keeps %d runs", a.name, len(a.runner.runs))
			}
		}
		for k, row := range w.rows {
			if s, err := ParseTask(row); err == nil && strings.HasPrefix(string(k), "tasks/") {
				n := 0
				for run := range w.evicted {
					if run.Task == s.Task() {
						n++
					}
				}
				if s.Evictions != n {
					w.fail("task %s was evicted %d times, counted %d", s.Task(), n, s.Evictions)
				}
			}
		}
		if w.violation != "" {
			rt.Fatal(w.violation)
		}
		runs++
		total["starts"] += len(w.starts)
		total["evictions"] += len(w.evicted)
		total["resumed"] += len(w.resumed)
		total["notRun"] += len(w.notRun)
	})
	t.Logf("%d interleavings: %v", runs, total)
	is := is.New(t)
	is.True(total["starts"] > 0 && total["evictions"] > 0 && total["resumed"] > 0 && total["notRun"] > 0) // every case occurred
}

// only returns the events of one kind.
func only(list []event, fault string) (kept []event) {
	for _, e := range list {
		if e.fault == fault {
			kept = append(kept, e)
		}
	}
	return kept
}

// settled reports whether nothing is left to do for any task.
func (w *world) settled() bool {
	for k, row := range w.rows {
		if !strings.HasPrefix(string(k), "tasks/") {
			continue
		}
		s, err := ParseTask(row)
		g, _ := ParseGroup(w.rows[GroupKey(s.Job)])
		if v := ViewOf(s.Record, g.Group); err != nil || !v.State.Terminal() && v.State != StateParked {
			return false
		}
	}
	return true
}

func (w *world) states() string {
	var b strings.Builder
	for _, k := range sortedKeys(w.rows) {
		fmt.Fprintf(&b, "%s %s\n", k, w.rows[k].Value)
	}
	return b.String()
}
