package job

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// explore visits every state of a world that events lead to within the depth,
// breadth first, and returns the number of states and the first violation with
// the events that lead to it. A state is reached by repeating its events.
func explore(begin func() *world, depth int) (states int, violation string, path []string) {
	reach := func(choices []int) *world {
		w := begin()
		path = nil
		for _, i := range choices {
			e := w.events()[i]
			path = append(path, e.name)
			w.happen(e)
		}
		return w
	}
	visited := map[uint64]bool{begin().hash(): true}
	level := [][]int{nil}
	for range depth {
		var next [][]int
		for _, n := range level {
			for i := range reach(n).events() {
				choices := append(slices.Clone(n), i)
				w := reach(choices)
				if w.violation != "" {
					return len(visited), w.violation, path
				}
				if h := w.hash(); !visited[h] {
					visited[h] = true
					next = append(next, choices)
				}
			}
		}
		level = next
	}
	return len(visited), "", nil
}

// assigned returns a world of one task that entry 0 has assigned and whose
// start is on its way, so that the explorations reach further.
func assigned() *world {
	w := newWorld(1, 1)
	w.eager = true
	w.fromShard(0)(w.shards[0].Tick(w.now), nil)
	t := w.items[0]
	w.items = nil
	w.perform(t)
	return w
}

// Guards against an order of events, however rare, that places a task twice:
// all orders to the stated depth after the stated beginning are tried, with the
// stated number of faults, for two entries, two workers and one task. The last
// cases break a rule and must be found, or the exploration proves nothing.
func TestExploreAllInterleavings(t *testing.T) {
	takeover := []string{"a lease passes", "entry 0 takes over from w0", "do job.Commit"}
	for _, c := range []struct {
		name   string
		begin  []string
		budget map[string]int
		depth  int
		broken string
	}{
		{"two owners", nil, nil, 12, ""},
		{"repeated message and expired reservation", nil, map[string]int{"repeat": 1, "long": 1}, 6, ""},
		{"lost answer and new owner", nil, map[string]int{"lost": 1, "rebuild": 1}, 5, ""},
		{"eviction and repeated message", []string{"do job.Start", "do job.Commit"}, map[string]int{"evict": 1, "repeat": 1, "drop": 1}, 8, ""},
		{"agent restart", nil, map[string]int{"restart": 1, "long": 1, "lost": 1}, 5, ""},
		{"takeover and renewed lease", takeover, map[string]int{"heartbeat": 2}, 8, ""},
		{"takeover from a running worker", []string{"do job.Start"}, map[string]int{"suspect": 1}, 8, ""},
		{"cancel and lost answer", nil, map[string]int{"cancel": 1, "lost": 1}, 5, ""},
		{"broken: start without the epoch check", []string{"31 s pass"}, nil, 6, "unfenced"},
		{"broken: takeover without the table's clock", []string{"do job.Start"}, map[string]int{"suspect": 1}, 6, "trusting"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			begin := func() *world {
				w := assigned()
				w.unfenced, w.trusting = c.broken == "unfenced", c.broken == "trusting"
				w.budget["long"], w.budget["expire"], w.budget["suspect"] = 1, 1, 1
				for _, name := range c.begin {
					n := slices.IndexFunc(w.events(), func(e event) bool { return strings.HasPrefix(e.name, name) })
					is.True(n >= 0) // the beginning is possible
					w.happen(w.events()[n])
				}
				w.budget = maps.Clone(c.budget)
				return w
			}
			depth := c.depth
			if c.broken == "" {
				depth -= raceDepth
			}
			n, violation, path := explore(begin, depth)
			t.Logf("%d states to depth %d; violation %q after %s", n, depth, violation, strings.Join(path, "; "))
			is.Equal(violation != "", c.broken != "")
		})
	}
}
