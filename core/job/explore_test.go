package job

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// explore visits, breadth first, every state of a cluster that can be reached
// with at most depth events. It returns the number of states and the first
// violation with the events that lead to it. States are not stored: each one is
// reached by replaying its events.
func explore(newInitial func() *cluster, depth int) (states int, violation string, path []string) {
	reach := func(choices []int) *cluster {
		cl := newInitial()
		path = nil
		for _, i := range choices {
			e := cl.events()[i]
			path = append(path, e.name)
			cl.apply(e)
		}
		return cl
	}
	visited := map[uint64]bool{newInitial().hash(): true}
	level := [][]int{nil}
	for range depth {
		var next [][]int
		for _, n := range level {
			for i := range reach(n).events() {
				choices := append(slices.Clone(n), i)
				cl := reach(choices)
				if cl.violation != "" {
					return len(visited), cl.violation, path
				}
				if h := cl.hash(); !visited[h] {
					visited[h] = true
					next = append(next, choices)
				}
			}
		}
		level = next
	}
	return len(visited), "", nil
}

// newAssignedCluster returns a cluster with one task whose assignment by entry 0
// has been committed and whose start is in flight, so that the explorations reach
// further.
func newAssignedCluster() *cluster {
	cl := newCluster(1, 1)
	cl.eager = true
	cl.fromShard(0)(cl.shards[0].Tick(cl.now), nil)
	op := cl.inFlight[0]
	cl.inFlight = nil
	cl.perform(op)
	return cl
}

// Guards against a rare order of events that places a task twice. All orders up
// to the given depth are tried after the given first events and with the given
// number of faults, for two entries, two workers and one task. The last two cases
// break a rule; if the exploration did not find these violations, the absence of
// violations in the others would prove nothing.
func TestExploreAllInterleavings(t *testing.T) {
	takeover := []string{"a lease passes", "entry 0 takes over from w0", "do job.Commit"}
	for _, c := range []struct {
		name        string
		firstEvents []string
		budget      map[string]int
		depth       int
		brokenRule  string
	}{
		{"two owners", nil, nil, 12, ""},
		{"repeated message and expired reservation", nil, map[string]int{"repeat": 1, "long": 1}, 6, ""},
		{"lost answer and new owner", nil, map[string]int{"lost": 1, "rebuild": 1}, 5, ""},
		{"eviction and repeated message", []string{"do job.Start", "do job.Commit"}, map[string]int{"evict": 1, "repeat": 1, "drop": 1}, 8, ""},
		{"agent restart", nil, map[string]int{"restart": 1, "long": 1, "lost": 1}, 5, ""},
		{"takeover and renewed lease", takeover, map[string]int{"heartbeat": 2}, 8, ""},
		{"takeover from a running worker", []string{"do job.Start"}, map[string]int{"suspect": 1}, 8, ""},
		{"cancel and lost answer", nil, map[string]int{"cancel": 1, "lost": 1}, 5, ""},
		{"broken: start without the epoch check", []string{"31 s pass"}, nil, 6, "skipsEpochCheck"},
		{"broken: takeover without the table's clock", []string{"do job.Start"}, map[string]int{"suspect": 1}, 6, "ignoresTableClock"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			newInitial := func() *cluster {
				cl := newAssignedCluster()
				cl.skipsEpochCheck, cl.ignoresTableClock = c.brokenRule == "skipsEpochCheck", c.brokenRule == "ignoresTableClock"
				cl.budget["long"], cl.budget["expire"], cl.budget["suspect"] = 1, 1, 1
				for _, name := range c.firstEvents {
					n := slices.IndexFunc(cl.events(), func(e event) bool { return strings.HasPrefix(e.name, name) })
					is.True(n >= 0) // the event is possible
					cl.apply(cl.events()[n])
				}
				cl.budget = maps.Clone(c.budget)
				return cl
			}
			depth := c.depth
			if c.brokenRule == "" {
				depth -= raceDepth
			}
			n, violation, path := explore(newInitial, depth)
			t.Logf("%d states to depth %d; violation %q after %s", n, depth, violation, strings.Join(path, "; "))
			is.Equal(violation != "", c.brokenRule != "")
		})
	}
}
