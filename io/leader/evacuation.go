package leader

import (
	"context"
	"time"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/evacuation"
	"oleandervalve/io/peer"
)

// readEvacuations reads the operators' rows. The entry may have read them before it has replaced the
// previous leader, which is too early: a data centre may have been evacuated since.
func (l *Leader) readEvacuations(ctx context.Context) error {
	if l.options.EvacuationDelay == 0 {
		return nil
	}
	sent := l.options.now()
	var version oleandervalve.Version
	var rows []oleandervalve.Row
	var after oleandervalve.Key
	for {
		var p oleandervalve.Page
		err := l.retryRead(ctx, func(ctx context.Context) (err error) {
			p, err = l.options.Table.Scan(ctx, l.options.EvacuationPrefix, after, maxPageRows)
			return err
		})
		if err != nil {
			return err
		}
		if after == "" {
			version = p.Version
		}
		rows = append(rows, p.Rows...)
		if after = p.Next; after == "" {
			break
		}
	}
	t := evacuation.NewTracker(l.options.EvacuationPrefix)
	t.Read(sent, version, rows)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuation = l.evacuation.Merge(t.View())
	return nil
}

// Evacuate handles a view of the operators' rows. Agents are sent the changes before any pong tells that
// the view is newer: an agent that trusts the age in a pong has returned the starts by then. Views that
// come before the jobs are loaded are dropped, since the leader reads the rows itself.
func (l *Leader) Evacuate(v evacuation.View) {
	l.withDispatcher(func(_ *dispatch.Dispatcher, now time.Time) {
		l.evacuation = l.evacuation.Merge(v)
		l.applyEvacuations(now)
	})
}

// applyEvacuations passes the evacuated data centres to the dispatcher. The lock must be held.
func (l *Leader) applyEvacuations(now time.Time) {
	if l.options.EvacuationDelay == 0 {
		return
	}
	l.dispatcher.SetEvacuated(now, l.evacuation.DataCentres)
}

// startProofAge returns the age of the proof for starts that an agent is given: that of the proof of
// leadership or that of the view of the operators' rows, whichever is older. The lock must be held.
func (l *Leader) startProofAge(id oleandervalve.AgentID) time.Duration {
	switch {
	case l.options.EvacuationDelay == 0:
		return 0
	case l.evacuation.AsOf.IsZero():
		return unknownViewAge
	}
	return max(l.proofAge(id), l.options.now().Sub(l.evacuation.AsOf))
}

// unknownViewAge is the age for starts while the operators' rows have not been read.
const unknownViewAge = time.Hour

// sendEvacuation tells an agent whether the data centre of its executor is evacuated. Agents of earlier
// releases close the connection when they are sent a message that they don't know.
func (l *Leader) sendEvacuation(e dispatch.Evacuation) {
	if s := l.agents[e.Agent]; s != nil && s.handlesEvacuation {
		l.send(e.Agent, &peer.Evacuation{Evacuation: e})
	}
}

// reportEvacuations updates the gauges of evacuations. The lock must be held.
func (l *Leader) reportEvacuations(d *dispatch.Dispatcher) {
	if l.options.EvacuationDelay == 0 {
		return
	}
	l.updateEvacuationGauges(d.Evacuations())
}

func (l *Leader) updateEvacuationGauges(dataCentres, runs int) {
	l.options.Scope.Gauge("evacuated_data_centres").Update(float64(dataCentres))
	l.options.Scope.Gauge("evacuated_runs").Update(float64(runs))
}
