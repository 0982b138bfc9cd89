package dispatch

import (
	"cmp"
	"slices"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
)

const (
	// shareInterval is the minimum time between two updates of one agent's pairs of images.
	shareInterval = time.Second
	// contentionLogInterval is the minimum time between two log events of the learned
	// coefficients.
	contentionLogInterval = 4 * time.Second
)

// sharedPairs are the pairs of images that an agent was last told of.
type sharedPairs struct {
	pairs []contention.Pair
	at    time.Time
}

// shareContention sends each agent the non-interfering pairs among the images on its
// executor if they have changed. The pairs of all images would be hundreds in a large fleet.
func (d *Dispatcher) shareContention(now time.Time) {
	for _, a := range d.sortedAgents {
		if a.connected && now.Sub(a.shared.at) >= shareInterval {
			d.shareContentionWith(now, a)
		}
	}
}

// shareContentionWith sends an agent the non-interfering pairs among the images on its
// executor if they have changed.
func (d *Dispatcher) shareContentionWith(now time.Time, a *agent) {
	if len(a.lcRuns) == 0 || len(a.beCPUByImage) == 0 {
		return
	}
	pairs := d.nonInterferingOn(a)
	if slices.Equal(pairs, a.shared.pairs) {
		return
	}
	a.shared = sharedPairs{pairs, now}
	d.enqueueAction(ShareContention{Agent: a.id, NonInterfering: pairs})
}

// nonInterferingOn returns the non-interfering pairs among the images on an executor, sorted.
func (d *Dispatcher) nonInterferingOn(a *agent) []contention.Pair {
	latencyCritical := map[oleandervalve.KindName]bool{}
	for _, r := range a.lcRuns {
		latencyCritical[r.step.spec.Image] = true
	}
	var pairs []contention.Pair
	for lc := range latencyCritical {
		for be := range a.beCPUByImage {
			if p := (contention.Pair{BestEffort: be, LatencyCritical: lc}); d.contention.IsNonInterfering(p) {
				pairs = append(pairs, p)
			}
		}
	}
	slices.SortFunc(pairs, func(x, y contention.Pair) int {
		return cmp.Or(cmp.Compare(x.BestEffort, y.BestEffort), cmp.Compare(x.LatencyCritical, y.LatencyCritical))
	})
	return pairs
}

// logContention logs the learned coefficients if the non-interfering pairs have changed.
func (d *Dispatcher) logContention(now time.Time) {
	if now.Sub(d.pairsLoggedAt) < contentionLogInterval {
		return
	}
	pairs := d.contention.NonInterfering()
	if slices.Equal(pairs, d.nonInterfering) {
		return
	}
	d.nonInterfering, d.pairsLoggedAt = pairs, now
	d.note("contentionLearned", "", map[string]any{"lightPairs": len(pairs), "weights": d.contention.Coefficients()})
}
