package leader

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/paging"
	"oleandervalve/core/work"
)

// loadWhileRenewing loads the jobs and renews the leader's row meanwhile: loading may take
// longer than the row may stay unchanged before another entry takes over.
func (l *Leader) loadWhileRenewing(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewing, stopRenewing := context.WithCancel(ctx)
	defer stopRenewing()
	var renewalErr error
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if renewalErr = l.renewLoop(ctx, renewing.Done()); renewalErr != nil {
			cancel()
		}
	}()
	err := l.load(ctx)
	if err != nil {
		cancel()
	}
	stopRenewing()
	<-stopped
	if renewalErr != nil {
		return renewalErr
	}
	return err
}

// renewLoop renews the leader's row until leadership is lost or done is closed. It finishes a
// renewal that it has begun, so that the version of the row is known.
func (l *Leader) renewLoop(ctx context.Context, done <-chan struct{}) error {
	for {
		t := l.options.Clock.NewTimer(l.untilRenewal())
		select {
		case <-done:
			t.Stop()
			return nil
		case <-t.Chan():
		}
		if err := l.commit(ctx, &dispatch.Batch{}); err != nil {
			return err
		}
	}
}

// load reads all jobs and the learned model from the table into the dispatcher.
func (l *Leader) load(ctx context.Context) error {
	started := l.options.Clock.Now()
	size := paging.New(paging.Limits{MaxRows: maxPageRows, Timeout: maxCommitTimeout})
	specs := map[oleandervalve.JobID]oleandervalve.Row{}
	if err := l.scan(ctx, work.SpecPrefix, size, func(r oleandervalve.Row) {
		specs[oleandervalve.JobID(r.Key[len(work.SpecPrefix):])] = r
	}); err != nil {
		return err
	}
	var stored []dispatch.StoredJob
	err := l.scan(ctx, work.RecordPrefix, size, func(r oleandervalve.Row) {
		s := dispatch.StoredJob{Job: oleandervalve.JobID(r.Key[len(work.RecordPrefix):]), Version: r.Version}
		spec := specs[s.Job]
		s.SpecVersion = spec.Version
		err := work.Decode(r, &s.Record)
		if err == nil && s.Record.State != work.Completed {
			err = work.Decode(spec, &s.Spec)
			if err == nil {
				// A job that no leader can handle must not bring down one after the other.
				err = s.Spec.Validate()
			}
		}
		if err == nil {
			err = s.Record.Validate(s.Spec)
		}
		if err != nil {
			l.options.Log.WithField("job", s.Job).WithError(err).Error("stored job can't be decoded and is skipped")
			l.mu.Lock()
			l.skippedRows[r.Key] = true
			l.mu.Unlock()
			return
		}
		stored = append(stored, s)
	})
	if err != nil {
		return err
	}
	learned, err := l.get(ctx, dispatch.LearnedKey)
	if err != nil {
		return err
	}
	if err := l.readEvacuations(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	if learned.Version > 0 {
		if err := l.dispatcher.RestoreLearned(learned); err != nil {
			l.options.Log.WithError(err).Warn("the last leader's learned model can't be decoded; starting with an empty one")
		}
	}
	l.learnedWrittenAt = l.options.Clock.Now()
	l.dispatcher.Load(l.options.Clock.Now(), stored)
	l.dispatcher.RestoreSilences(l.acquiredAt.Time, l.inheritedRowAge, proofInterval, l.inheritedSilences)
	l.dispatcher.RestoreConfirmations(l.row.Confirmations)
	for id, at := range l.grantedWhileLoading {
		l.dispatcher.LeaseGranted(at, id)
	}
	l.loaded = true
	l.applyEvacuations(l.options.Clock.Now())
	l.applyDeferred(l.options.Clock.Now())
	term := l.row.Term
	l.mu.Unlock()
	l.requestCommit()
	l.readyOnce.Do(func() { close(l.ready) })
	l.options.Log.WithFields(logrus.Fields{"term": term, "jobs": len(stored), "tookMs": l.options.Clock.Since(started).Milliseconds()}).Info("leading")
	return nil
}

// retryRead runs a read of the table and repeats it up to maxReadRetries times if it
// fails.
func (l *Leader) retryRead(ctx context.Context, read func(context.Context) error) error {
	for retries := 0; ; retries++ {
		callCtx, cancel := context.WithTimeout(ctx, maxCommitTimeout)
		err := read(callCtx)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || retries >= maxReadRetries {
			return errors.Wrap(err, "read the stored jobs")
		}
		l.options.Clock.Sleep(retryDelay)
	}
}

// get reads one row. If the row is absent, its version is 0.
func (l *Leader) get(ctx context.Context, key oleandervalve.Key) (row oleandervalve.Row, err error) {
	err = l.retryRead(ctx, func(ctx context.Context) error {
		rows, err := l.options.Table.Get(ctx, key)
		if err == nil {
			row = rows[0]
		}
		return err
	})
	return row, err
}

// maxPageRows is the largest number of rows requested for a page of a scan. The table
// returns at most as many.
const maxPageRows = 500

// scan calls handleRow for each row whose key has the prefix. The size of its pages follows
// the time that reads take.
func (l *Leader) scan(ctx context.Context, prefix oleandervalve.Key, size *paging.Size, handleRow func(oleandervalve.Row)) error {
	var after oleandervalve.Key
	for {
		var p oleandervalve.Page
		err := l.retryRead(ctx, func(ctx context.Context) (err error) {
			started := l.options.Clock.Now()
			p, err = l.options.Table.Scan(ctx, prefix, after, size.Rows())
			if err != nil {
				size.Failed()
				return err
			}
			size.Read(l.options.Clock.Since(started))
			return nil
		})
		if err != nil {
			return err
		}
		for _, r := range p.Rows {
			handleRow(r)
		}
		if p.Next == "" {
			return nil
		}
		after = p.Next
	}
}

// maxReadRetries is how often a failed read is repeated before the term ends.
const maxReadRetries = 5
