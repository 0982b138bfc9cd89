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

// step generates one random event of the scenario and then advances the time.
func (cl *cluster) step(op uint64) {
	e := cl.entries[cl.r.IntN(len(cl.entries))]
	a := cl.agents[cl.r.IntN(len(cl.agents))]
	p := &a.process
	if cl.chance(40) {
		p = &e.process
	}
	switch n := op % 100; {
	case n < 25:
		cl.keys = append(cl.keys, cl.newKey())
		cl.call(e, cl.keys[len(cl.keys)-1])
	case n < 65 && len(cl.keys) > 0:
		cl.call(e, cl.keys[len(cl.keys)-1-cl.r.IntN(min(4, len(cl.keys)))])
	case n < 70:
		cl.pause(p, time.Duration(cl.r.IntN(40_000))*time.Millisecond)
	case n < 73:
		// The successor of a terminated entry notifies every agent.
		id := e.id
		e.incarnation++
		e.pausedUntil, e.attempts = time.Time{}, NewAttempts()
		for _, g := range cl.agents {
			cl.send(&g.process, func(now time.Time) { g.store.EntryTerminated(now, id) })
		}
	case n < 77:
		if a.down {
			cl.startAgent(a)
		} else {
			a.down = true
			cl.takeOver(a, e, keyrange.ProofTerminated)
		}
	case n < 83:
		cl.beginTransfer(a)
	case n < 88:
		cl.takeOver(a, e, keyrange.ProofLeaseExpired)
	case n < 94:
		cl.takeOver(a, e, keyrange.ProofTerminated)
	case n < 98:
		// A data centre loses its connection to the table.
		a.tableCutUntil = cl.now.Add(time.Duration(cl.r.IntN(40_000)) * time.Millisecond)
		e.tableCutUntil = a.tableCutUntil
	case n < 99:
		cl.table.downUntil = cl.now.Add(time.Duration(cl.r.IntN(30_000)) * time.Millisecond)
	}
	d := time.Duration(cl.r.IntN(400)) * time.Millisecond
	switch n := cl.r.IntN(100); {
	case n < 4:
		d = time.Duration(cl.r.IntN(40)) * time.Second
	case n < 15:
		d = time.Duration(cl.r.IntN(4000)) * time.Millisecond
	}
	cl.advance(d)
}

// newKey returns a key whose timestamp is close to the limits, far in the past, or
// missing.
func (cl *cluster) newKey() string {
	at := cl.now.Add(time.Duration(cl.r.IntN(6000)-3000) * time.Millisecond)
	switch n := cl.r.IntN(10); n {
	case 0:
		return "plain-" + cl.nextID()
	case 1:
		at = at.Add(-time.Duration(cl.r.IntN(70)) * time.Second)
	}
	return strconv.FormatInt(at.UnixMilli(), 10) + "-random" + cl.nextID() + "xx"
}

func (cl *cluster) call(e *simEntry, key string) {
	body := "b"
	if cl.chance(10) {
		body = "other"
	}
	timeout := 5 * time.Second
	if cl.chance(25) {
		timeout = 40 * time.Second
	}
	cl.schedule(0, &e.process, func(now time.Time) { cl.request(e, now, key, body, timeout) })
}

func (cl *cluster) beginTransfer(a *simAgent) {
	to := cl.agents[cl.r.IntN(len(cl.agents))]
	cl.schedule(0, &a.process, func(now time.Time) {
		var ranges []keyrange.ID
		for _, r := range a.view.Ranges(a.store.self) {
			if r%2 == 0 || to.down {
				ranges = append(ranges, r)
			}
		}
		cl.lastID++
		id := uint64(cl.lastID)
		if len(ranges) > 0 && a.transferID == 0 && a.store.BeginTransfer(now, id, keyrange.Owner{Agent: to.id, Incarnation: to.incarnation}, ranges) == nil {
			a.transferID = id
			cl.counts["transfersBegun"]++
			cl.advanceTransfer(a, now)
		}
	})
}

func runScenario(t *rapid.T, v variant) *cluster {
	cl := newCluster(rapid.Uint64().Draw(t, "seed"), v)
	for _, op := range rapid.SliceOfN(rapid.Uint64(), 30, 150).Draw(t, "ops") {
		if cl.step(op ^ cl.r.Uint64()); cl.violation != "" {
			break
		}
	}
	return cl
}

// Guards against a second execution of a key, a false "not run", an answer that
// differs from the stored one, and a different body accepted under the same key.
func TestKeyRunsAtMostOnce(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		cl := runScenario(t, variant{})
		if cl.violation != "" {
			t.Fatal(cl.violation)
		}
		for k, n := range cl.counts {
			total[k] += n
		}
	})
	for _, k := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%7d %s", total[k], k)
	}
	// Guards against a scenario that no longer covers the cases that it is meant for.
	for _, k := range []string{
		"ran", "answered replayed=true", "transferred", "aborted", "takenOver ended", "takenOver expired",
		"notRun keyAhead", "notRun keyBodyDiffers", "notRun keysFull", "unknown keyTakenOver", "unknown keyLease", "unknown keyExpired",
	} {
		is.New(t).True(total[k] > 0) // The case occurs.
	}
}

// Guards against a property test that still passes when a safety rule is removed.
func TestDisabledRulesAreDetected(t *testing.T) {
	for name, v := range map[string]variant{
		"takeover without margin":                    {noMargin: true},
		"takeover without lease":                     {noLease: true},
		"transfer aborted after its commit was sent": {abortAfterCommit: true},
	} {
		t.Run(name, func(t *testing.T) {
			violations := rapid.Custom(func(t *rapid.T) string { return runScenario(t, v).violation })
			for seed := range 3000 {
				if violation := violations.Example(seed); violation != "" {
					t.Logf("case %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no generated case violates a property")
		})
	}
}
