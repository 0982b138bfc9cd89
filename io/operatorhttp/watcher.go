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
	// maxLogRows is the largest number of missing revisions that a watcher reads from
	// the log; beyond it a scan of all objects is cheaper.
	maxLogRows = 500
	scanLimit  = 250
)

// Watcher polls the table and updates an entry's replica of the configuration.
type Watcher struct {
	table oleandervalve.Table
	clock oleandervalve.Clock
	log   logrus.FieldLogger
	// maxReplay is maxLogRows unless a test lowers it.
	maxReplay oleandervalve.Revision
	// ages measures how old the replica is, including suspensions of the instance.
	ages *oleandervalve.LeaseClock

	mu      sync.Mutex
	replica *operator.Replica
	// readAt is when the last read of the head row began that the replica reflects.
	readAt  time.Time
	changed chan struct{}
}

// NewWatcher returns a watcher with an empty replica.
func NewWatcher(t oleandervalve.Table, c oleandervalve.Clock, log logrus.FieldLogger) *Watcher {
	w := &Watcher{
		table: t, clock: c, log: log, maxReplay: maxLogRows, replica: operator.NewReplica(), changed: make(chan struct{}, 1),
		ages: oleandervalve.NewLeaseClock(c, oleandervalve.SystemUptime),
	}
	w.readAt = w.ages.Now()
	return w
}

// Age returns how long ago the replica was last known to be the newest configuration. Before
// the first read it returns the time since the watcher was created.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ages.Now().Sub(w.readAt)
}

// recordRead records that the replica reflects a read that began at the given time.
func (w *Watcher) recordRead(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readAt = at
}

// WithReplica calls f with the replica under the watcher's lock; f must not retain it.
func (w *Watcher) WithReplica(f func(r *operator.Replica)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.replica)
}

// Changed returns a channel that receives a value after the replica has applied
// new revisions. Notifications that are not received in time are merged.
func (w *Watcher) Changed() <-chan struct{} { return w.changed }

// Run polls the table every PollInterval until the context ends.
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

// Poll reads the head row once and applies the new revisions. Errors are those of
// the table, *operator.RowError and *operator.GapError; the replica keeps serving
// its last consistent revision.
func (w *Watcher) Poll(ctx context.Context) error {
	startedAt := w.ages.Now()
	if err := w.poll(ctx); err != nil {
		return err
	}
	w.recordRead(startedAt)
	return nil
}

func (w *Watcher) poll(ctx context.Context) error {
	head, err := w.head(ctx)
	if err != nil {
		return err
	}
	var previous operator.Ack
	var loaded bool
	w.WithReplica(func(r *operator.Replica) {
		previous, loaded = r.Ack(), r.Ready()
		// No peer has applied a newer revision than that of the head row, so there is
		// no need to wait for their reports.
		r.RecordPeerRevision("table", head.Revision)
		r.StopWaitingForPeers()
	})
	if loaded && head.Revision <= previous.Revision {
		if head.Revision < previous.Revision {
			w.log.WithFields(logrus.Fields{"head": head.Revision, "inForce": previous.Revision}).
				Error("head row of the configuration is older than the replica; keeping the newer configuration")
		}
		return nil
	}
	if loaded && head.Revision-previous.Revision <= w.maxReplay {
		err = w.applyLog(ctx, previous.Revision, head.Revision)
		var gap *operator.GapError
		if !errors.As(err, &gap) {
			w.notify(previous.Revision)
			return err
		}
		w.log.WithError(err).Warn("configuration log has a gap; scanning all objects")
	}
	if err := w.scanAll(ctx, head); err != nil {
		return err
	}
	w.notify(previous.Revision)
	w.WithReplica(func(r *operator.Replica) {
		if !r.Ready() {
			w.log.WithFields(logrus.Fields{"revision": r.Revision(), "floor": r.RequiredRevision()}).
				Warn("configuration in the table is older than that of peers; not serving yet")
		}
	})
	return nil
}

func (w *Watcher) notify(previous oleandervalve.Revision) {
	var current oleandervalve.Revision
	w.WithReplica(func(r *operator.Replica) { current = r.Revision() })
	if current == previous {
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

// records returns the log records after one revision up to and including another.
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

func (w *Watcher) applyLog(ctx context.Context, from, to oleandervalve.Revision) error {
	records, err := w.records(ctx, from, to)
	if err != nil {
		return err
	}
	w.WithReplica(func(r *operator.Replica) {
		for _, rec := range records {
			if err = r.ApplyRecord(rec); err != nil {
				return
			}
		}
	})
	return err
}

// scanAll loads all objects, then applies the log records that were written during
// the scan.
func (w *Watcher) scanAll(ctx context.Context, startHead operator.Head) error {
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
	endHead, err := w.head(ctx)
	if err != nil {
		return err
	}
	records, err := w.records(ctx, startHead.Revision, endHead.Revision)
	if err != nil {
		return err
	}
	w.WithReplica(func(r *operator.Replica) { err = r.Load(objects, records, endHead) })
	return err
}
