package callerkey

import (
	"flag"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandervalve/core/keyrange"
)

// TestMain fixes the seed, so that every run checks the same cases; flags still override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step draws one event of the scenario.
func (w *world) step(op uint64) {
	e := w.entries[w.r.IntN(len(w.entries))]
	a := w.agents[w.r.IntN(len(w.agents))]
	p := &a.process
	if w.chance(40) {
		p = &e.process
	}
	switch n := op % 100; {
	case n < 25:
		w.keys = append(w.keys, w.newKey())
		w.call(e, w.keys[len(w.keys)-1])
	case n < 65 && len(w.keys) > 0:
		w.call(e, w.keys[len(w.keys)-1-w.r.IntN(min(4, len(w.keys)))])
	case n < 70:
		w.pause(p, time.Duration(w.r.IntN(40_000))*time.Millisecond)
	case n < 73:
		// The successor of a lost entry reports the loss to every home.
		id := e.id
		e.run++
		e.paused, e.attempts = time.Time{}, NewAttempts()
		for _, g := range w.agents {
			w.send(&g.process, func(now time.Time) { g.home.EntryLost(now, id) })
		}
	case n < 77:
		if a.down {
			w.startAgent(a)
		} else {
			a.down = true
			w.takeOver(a, e, keyrange.ProofTerminated)
		}
	case n < 83:
		w.handOver(a)
	case n < 88:
		w.takeOver(a, e, keyrange.ProofLeaseExpired)
	case n < 94:
		w.takeOver(a, e, keyrange.ProofTerminated)
	case n < 98:
		// A data centre loses its way to the table.
		a.cut = w.now.Add(time.Duration(w.r.IntN(40_000)) * time.Millisecond)
		e.cut = a.cut
	case n < 99:
		w.table.down = w.now.Add(time.Duration(w.r.IntN(30_000)) * time.Millisecond)
	}
	d := time.Duration(w.r.IntN(400)) * time.Millisecond
	switch n := w.r.IntN(100); {
	case n < 4:
		d = time.Duration(w.r.IntN(40)) * time.Second
	case n < 15:
		d = time.Duration(w.r.IntN(4000)) * time.Millisecond
	}
	w.advance(d)
}

// newKey returns a key whose timestamp is around the limits, far off, or missing.
func (w *world) newKey() string {
	at := w.now.Add(time.Duration(w.r.IntN(6000)-3000) * time.Millisecond)
	switch n := w.r.IntN(10); n {
	case 0:
		return "plain-" + w.id()
	case 1:
		at = at.Add(-time.Duration(w.r.IntN(70)) * time.Second)
	}
	return strconv.FormatInt(at.UnixMilli(), 10) + "-random" + w.id() + "xx"
}

func (w *world) call(e *simEntry, key string) {
	body := "b"
	if w.chance(10) {
		body = "other"
	}
	timeout := 5 * time.Second
	if w.chance(25) {
		timeout = 40 * time.Second
	}
	w.after(0, &e.process, func(now time.Time) { w.request(e, now, key, body, timeout) })
}

func (w *world) handOver(a *simAgent) {
	to := w.agents[w.r.IntN(len(w.agents))]
	w.after(0, &a.process, func(now time.Time) {
		var ranges []keyrange.ID
		for _, r := range a.view.Ranges(a.home.self) {
			if r%2 == 0 || to.down {
				ranges = append(ranges, r)
			}
		}
		w.next++
		id := uint64(w.next)
		if len(ranges) > 0 && a.transfer == 0 && a.home.HandOver(now, id, keyrange.Owner{Agent: to.id, Incarnation: to.run}, ranges) == nil {
			a.transfer = id
			w.counts["moves"]++
			w.export(a, now)
		}
	})
}

func scenario(t *rapid.T, v variant) *world {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), v)
	for _, op := range rapid.SliceOfN(rapid.Uint64(), 30, 150).Draw(t, "ops") {
		if w.step(op ^ w.r.Uint64()); w.fault != "" {
			break
		}
	}
	return w
}

// Guards against a second execution of a key, a "not run" that is false, an
// answer other than the kept one, and another body under the same key.
func TestKeyRunsAtMostOnce(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := scenario(t, variant{})
		if w.fault != "" {
			t.Fatal(w.fault)
		}
		for k, n := range w.counts {
			total[k] += n
		}
	})
	for _, k := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%7d %s", total[k], k)
	}
	// Guards against a scenario that no longer reaches the cases it is for.
	for _, k := range []string{
		"ran", "answered replayed=true", "moved", "aborted", "takenOver ended", "takenOver expired",
		"notRun keyAhead", "notRun keyBodyDiffers", "notRun keysFull", "unknown keyTakenOver", "unknown keyLease", "unknown keyExpired",
	} {
		is.New(t).True(total[k] > 0) // The case occurs.
	}
}

// Guards against a property test that would pass with a rule removed.
func TestBrokenRulesAreFound(t *testing.T) {
	for name, v := range map[string]variant{
		"takeover without margin":               {noMargin: true},
		"takeover without lease (page's rule)":  {noLease: true},
		"handover undone after its commit sent": {abortAfterCommit: true},
	} {
		t.Run(name, func(t *testing.T) {
			found := rapid.Custom(func(t *rapid.T) string { return scenario(t, v).fault })
			for seed := range 3000 {
				if fault := found.Example(seed); fault != "" {
					t.Logf("case %d: %s", seed, fault)
					return
				}
			}
			t.Fatal("no case shows the fault")
		})
	}
}
