package operatorhttp

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/operator"
)

const (
	// PollInterval is the time between reads of the head row.
	PollInterval = time.Second
	// maxLogRows is the number of revisions up to which reading the log is
	// cheaper than scanning all objects.
	maxLogRows = 500
	scanLimit  = 250
)

// Watcher keeps the replica of an entry at the revision of the table.
type Watcher struct {
	table oleandervalve.Table
	clock oleandervalve.Clock
	log   logrus.FieldLogger
	// maxLog is maxLogRows; tests lower it.
	maxLog oleandervalve.Revision

	mu      sync.Mutex
	replica *operator.Replica
	changed chan struct{}
}

// NewWatcher returns a watcher with an empty replica.
func NewWatcher(t oleandervalve.Table, c oleandervalve.Clock, log logrus.FieldLogger) *Watcher {
	return &Watcher{table: t, clock: c, log: log, maxLog: maxLogRows, replica: operator.NewReplica(), changed: make(chan struct{}, 1)}
}

// Do calls f with the replica while no other goroutine uses it; f must not keep it.
func (w *Watcher) Do(f func(r *operator.Replica)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.replica)
}

// Changed receives after new revisions came into force.
func (w *Watcher) Changed() <-chan struct{} { return w.changed }

// Run polls every second until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.Poll(ctx); err != nil && ctx.Err() == nil {
			w.log.WithError(err).Warn("configuration was not read; trying again in a second")
		}
		select {
		case <-ctx.Done():
		case <-w.clock.After(PollInterval):
		}
	}
}

// Poll reads the head row once and applies what is new. Errors are those of
// the table, *operator.RowError and *operator.GapError; the replica then stays as it was.
func (w *Watcher) Poll(ctx context.Context) error {
	head, err := w.head(ctx)
	if err != nil {
		return err
	}
	var before operator.Ack
	var loaded bool
	w.Do(func(r *operator.Replica) {
		before, loaded = r.Ack(), r.Ready()
		// The head row is never older than the revision of any process.
		r.RecordPeerRevision("table", head.Revision)
		r.StopWaitingForPeers()
	})
	if loaded && head.Revision <= before.Revision {
		if head.Revision < before.Revision {
			w.log.WithFields(logrus.Fields{"head": head.Revision, "inForce": before.Revision}).
				Error("head row of the configuration went back; the newer configuration stays in force")
		}
		return nil
	}
	if loaded && head.Revision-before.Revision <= w.maxLog {
		err = w.follow(ctx, before.Revision, head.Revision)
		var gap *operator.GapError
		if !errors.As(err, &gap) {
			w.notify(before.Revision)
			return err
		}
		w.log.WithError(err).Warn("configuration log has a gap; scanning all objects")
	}
	if err := w.load(ctx, head); err != nil {
		return err
	}
	w.notify(before.Revision)
	w.Do(func(r *operator.Replica) {
		if !r.Ready() {
			w.log.WithFields(logrus.Fields{"revision": r.Revision(), "floor": r.RequiredRevision()}).
				Warn("configuration in the table is older than that of peers; not serving yet")
		}
	})
	return nil
}

func (w *Watcher) notify(before oleandervalve.Revision) {
	var now oleandervalve.Revision
	w.Do(func(r *operator.Replica) { now = r.Revision() })
	if now == before {
		return
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Watcher) head(ctx context.Context) (operator.Head, error) {
	rows, err := w.table.Get(ctx, operator.HeadKey)
	if err != nil {
		return operator.Head{}, err
	}
	return operator.DecodeHead(rows[0])
}

// records returns the log rows after one revision up to another.
func (w *Watcher) records(ctx context.Context, after, to oleandervalve.Revision) ([]operator.Record, error) {
	var out []operator.Record
	key := operator.LogKey(after)
	for uint64(len(out)) < uint64(to-after) {
		page, err := w.table.Scan(ctx, operator.LogPrefix, key, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			rec, err := operator.DecodeRecord(row)
			if err != nil {
				return nil, err
			}
			if rec.Revision <= to {
				out = append(out, rec)
			}
		}
		if page.Next == "" || len(page.Rows) == 0 {
			break
		}
		key = page.Next
	}
	return out, nil
}

func (w *Watcher) follow(ctx context.Context, from, to oleandervalve.Revision) error {
	records, err := w.records(ctx, from, to)
	if err != nil {
		return err
	}
	w.Do(func(r *operator.Replica) {
		for _, rec := range records {
			if err = r.ApplyRecord(rec); err != nil {
				return
			}
		}
	})
	return err
}

// load scans all objects. The log rows written during the scan are applied over its result.
func (w *Watcher) load(ctx context.Context, before operator.Head) error {
	var objects []operator.Object
	var key oleandervalve.Key
	for {
		page, err := w.table.Scan(ctx, operator.ObjectPrefix, key, scanLimit)
		if err != nil {
			return err
		}
		for _, row := range page.Rows {
			o, err := operator.DecodeObject(row)
			if err != nil {
				return err
			}
			objects = append(objects, o)
		}
		if page.Next == "" {
			break
		}
		key = page.Next
	}
	after, err := w.head(ctx)
	if err != nil {
		return err
	}
	records, err := w.records(ctx, before.Revision, after.Revision)
	if err != nil {
		return err
	}
	w.Do(func(r *operator.Replica) { err = r.Load(objects, records, after) })
	return err
}
