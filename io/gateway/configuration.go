package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/evacuation"
	"oleandervalve/io/leader"
)

const (
	// watchWait is how long the table holds a Watch call without changes, at most. It is short
	// so that a dead connection is detected well within the time in which a changed
	// configuration must be in force.
	watchWait = 1500 * time.Millisecond
	// watchMargin is added to watchWait for the timeout of a Watch call.
	watchMargin = 700 * time.Millisecond
	// readTimeout is the timeout of a read of the table.
	readTimeout = 700 * time.Millisecond
	// tableRetryDelay is the pause after a failed call to the table, without jitter.
	tableRetryDelay = 150 * time.Millisecond
)

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// followConfiguration reads the configuration and then applies each newer one that
// the table reports, until the context ends.
func (g *Gateway) followConfiguration(ctx context.Context) {
	var after oleandervalve.Version
	needsRead := true
	// Where evacuations are enabled, one call follows all rows of the operators.
	prefix, longestWait := g.options.ConfigurationKey, watchWait
	var evacuations *evacuation.Tracker
	if g.options.EvacuationDelay > 0 {
		prefix, longestWait = g.options.OperatorsPrefix, evacuation.WatchWait(g.options.delays().MaxProofAge(leader.ProofLifetime), watchWait)
		evacuations = evacuation.NewTracker(g.options.EvacuationPrefix)
	}
	wait := longestWait
	for ctx.Err() == nil {
		started := g.options.Clock.Now()
		var err error
		if needsRead {
			after, err = g.readConfiguration(ctx, prefix, evacuations)
			needsRead = err != nil
		} else {
			sent := g.now()
			callCtx, cancel := context.WithTimeout(ctx, wait+watchMargin)
			var changes oleandervalve.Changes
			changes, err = g.options.Table.Watch(callCtx, prefix, after, wait)
			cancel()
			if err == nil {
				after = max(after, changes.Next)
				for _, c := range changes.Rows {
					if !c.Deleted {
						g.applyConfiguration(c.Row)
					}
				}
				if evacuations != nil {
					evacuations.Watched(sent, g.now(), wait, changes)
					g.applyEvacuations(evacuations.View())
					wait = longestWait
					if len(changes.Rows) > 0 {
						// The view is only as recent as the call: without a shorter one next, starts
						// would wait for it.
						wait = evacuation.MinWatchWait
					}
				}
			}
			// Changes may have been missed during a failed call, so the
			// configuration is read again.
			needsRead = err != nil
		}
		if err == nil {
			g.recordTableSuccess(started)
			continue
		}
		var historyLost *oleandervalve.HistoryLostError
		if errors.As(err, &historyLost) {
			g.options.Log.WithField("after", historyLost.After).Info("table has dropped its history; reading the configuration again")
			continue
		}
		if ctx.Err() == nil {
			g.options.Log.WithError(err).Warn("configuration can't be read or watched; retrying")
		}
		g.pause(ctx, jitter(tableRetryDelay))
	}
}

// readConfiguration reads and applies the stored rows with the prefix: the configuration, if there is
// one, and the evacuations unless the tracker is nil. It returns the version of the table from which to
// watch for changes.
func (g *Gateway) readConfiguration(ctx context.Context, prefix oleandervalve.Key, evacuations *evacuation.Tracker) (oleandervalve.Version, error) {
	limit := 1
	if evacuations != nil {
		limit = maxOperatorRows
	}
	sent := g.now()
	var version oleandervalve.Version
	var rows []oleandervalve.Row
	var after oleandervalve.Key
	for {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := g.options.Table.Scan(callCtx, prefix, after, limit)
		cancel()
		if err != nil {
			return 0, err
		}
		if after == "" {
			// The later pages may include later changes, which are watched too.
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if after = page.Next; after == "" || evacuations == nil {
			break
		}
	}
	for _, r := range rows {
		if r.Key == g.options.ConfigurationKey {
			g.applyConfiguration(r)
		}
	}
	if evacuations != nil {
		evacuations.Read(sent, version, rows)
		g.applyEvacuations(evacuations.View())
	}
	return version, nil
}

// maxOperatorRows is the number of rows requested for a page of the operators' rows. The table
// returns at most as many.
const maxOperatorRows = 500

func (g *Gateway) now() oleandervalve.Instant {
	return oleandervalve.ReadInstant(g.options.Clock, g.options.Uptime)
}

// applyEvacuations records what is known of the evacuated data centres and tells the leader if it is
// this entry.
func (g *Gateway) applyEvacuations(v evacuation.View) {
	g.mu.Lock()
	changed := !slices.Equal(g.evacuation.DataCentres, v.DataCentres)
	g.evacuation = v
	l := g.ownTerm
	g.mu.Unlock()
	if changed {
		g.options.Log.WithFields(logrus.Fields{"dataCentres": v.DataCentres, "version": v.Version}).Info("evacuated data centres")
	}
	if l != nil {
		l.Evacuate(v)
	}
}

// applyConfiguration puts the configuration in the row in force, unless the one in
// force is as new or newer. It ignores other rows.
func (g *Gateway) applyConfiguration(row oleandervalve.Row) {
	if row.Key != g.options.ConfigurationKey {
		return
	}
	c, err := g.options.Decode(row)
	if err != nil {
		g.options.Log.WithField("rowVersion", row.Version).WithError(err).Error("configuration can't be decoded and is ignored")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.configuration != nil && g.configuration.Version >= c.Version {
		return
	}
	g.configuration = &c
	g.options.Log.WithFields(logrus.Fields{"revision": c.Version, "routes": len(c.Routes), "rowVersion": row.Version}).Info("configuration in force")
}

// Revision returns the revision of the configuration in force, or 0 if there is none.
func (g *Gateway) Revision() oleandervalve.Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.configuration == nil {
		return 0
	}
	return g.configuration.Version
}

// services returns the services that the configuration in force names, or nil if there is none.
func (g *Gateway) services() []oleandervalve.ServiceName {
	g.mu.Lock()
	c := g.configuration
	g.mu.Unlock()
	if c == nil {
		return nil
	}
	return c.Services()
}
