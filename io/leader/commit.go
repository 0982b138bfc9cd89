package leader

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/leasebound"
	"oleandervalve/core/work"
)

// commitLoop commits one batch after another until leadership is lost. Changes
// that accumulate during a commit go into the next one.
func (l *Leader) commitLoop(ctx context.Context) error {
	renew := l.options.Clock.NewTimer(RenewInterval)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.commitRequests:
		case <-renew.Chan():
		}
		l.mu.Lock()
		now := l.options.Clock.Now()
		l.dispatcher.Schedule(now)
		l.slowness.passEnded("schedule", now)
		l.executeActions(l.dispatcher.TakeActions())
		b := l.dispatcher.Batch()
		renewalDue := l.isRenewalDue()
		l.mu.Unlock()
		if b == nil && !renewalDue {
			renew.Reset(l.untilRenewal())
			continue
		}
		if b == nil {
			b = &dispatch.Batch{}
		}
		if err := l.commit(ctx, b); err != nil {
			return err
		}
		renew.Reset(l.untilRenewal())
		if l.tryHandover() {
			return ErrHandedOver
		}
	}
}

// untilRenewal returns the time until the leader's row is to be renewed.
func (l *Leader) untilRenewal() time.Duration {
	return max(0, RenewInterval-l.options.now().Sub(l.renewedAt))
}

// commit commits a batch and repeats that until the outcome is known. A batch that
// the table refuses goes back to the dispatcher.
func (l *Leader) commit(ctx context.Context, b *dispatch.Batch) error {
	// Read before the time that the row tells, as proofs count from it.
	began := l.options.now()
	t := b.Transaction
	t.Conditions = append([]oleandervalve.Condition{{Key: Key, Version: l.version}}, t.Conditions...)
	next := l.row
	next.Renewal++
	next.RenewedAt = l.estimateTableTime()
	var renewal []byte
	// With the leader's row in it, a conflict with a commit that was applied tells its version;
	// a deleted row has none.
	l.mu.Lock()
	renewalDue := l.isRenewalDue()
	l.mu.Unlock()
	if len(t.Puts) == 0 || len(t.Deletes) > 0 || renewalDue {
		next.Silences, next.Confirmations, next.SentBy = l.nameSilences(), l.confirmations(), l.latestTableTime()
		renewal = work.Encode(next)
		t.Puts = append([]oleandervalve.Put{{Key: Key, Value: renewal}}, t.Puts...)
	}
	if value := l.dueLearnedRow(); value != nil && len(t.Puts) > 0 {
		t.Puts = append(slices.Clip(t.Puts), oleandervalve.Put{Key: dispatch.LearnedKey, Value: value})
	}
	timeout := min(max(minCommitTimeout, commitTimeoutFactor*l.averageCommitTime), maxCommitTimeout)
	// mayApply is set when an earlier attempt may still take effect.
	mayApply := false
	for attempt := 1; ; attempt++ {
		started := l.options.now()
		commitCtx, cancel := context.WithTimeout(ctx, timeout)
		c, err := l.options.Table.Commit(commitCtx, t)
		cancel()
		took := l.options.Clock.Since(started.Time)
		if err == nil {
			l.recordTableTime(c.At, started)
			l.slowness.commitEnded(began.Time, attempt, t)
			l.recordCommitTime(took)
			l.commitSucceeded(b, t, c.Versions[0], renewal != nil, next, began, started)
			return nil
		}
		if ctx.Err() != nil {
			return nil //nolint:nilerr // the term has been cancelled; the next leader resolves the commit
		}
		var conflict *oleandervalve.ConflictError
		if errors.As(err, &conflict) {
			if isOwnCommit(t, conflict) {
				l.slowness.commitEnded(began.Time, attempt, t)
				l.recordCommitTime(took)
				l.commitSucceeded(b, t, conflict.Current.Version, renewal != nil, next, began, started)
				return nil
			}
			if l.isSkipped(conflict.Key) {
				l.rejectBatch(b, len(t.Puts), err)
				return nil
			}
			l.options.Log.WithFields(logrus.Fields{"row": conflict.Key, "expected": conflict.Expected, "found": conflict.Current.Version}).Warn("commit conflicts with that of another leader")
			return ErrFenced
		}
		var invalid *oleandervalve.InvalidError
		if errors.As(err, &invalid) && !b.Empty() {
			l.rejectBatch(b, len(t.Puts), err)
			return nil
		}
		var unavailable *oleandervalve.UnavailableError
		if !errors.As(err, &unavailable) {
			mayApply = true
			timeout = min(2*timeout, maxCommitTimeout)
		}
		l.options.Log.WithFields(logrus.Fields{"attempt": attempt, "rows": len(t.Puts), "tookMs": took.Milliseconds(), "mayApply": mayApply}).WithError(err).Warn("commit failed")
		if l.commitFailed(started) {
			return ErrResigned
		}
		if !mayApply {
			l.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.CommitRefused(now, b) })
			l.options.Clock.Sleep(retryDelay)
			l.requestCommit()
			return nil
		}
		l.refuseUnsent()
		l.options.Clock.Sleep(repeatDelay(attempt, took, errors.As(err, &unavailable)))
	}
}

// isSkipped reports whether a row was skipped when the jobs were loaded.
func (l *Leader) isSkipped(key oleandervalve.Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skippedRows[key]
}

// recordCommitTime records the duration of a commit for the timeout of the next ones.
func (l *Leader) recordCommitTime(took time.Duration) {
	l.averageCommitTime = (7*l.averageCommitTime + took) / 8
}

// valueBytes returns the total size of the values that a transaction writes.
func valueBytes(t oleandervalve.Transaction) int {
	n := 0
	for _, p := range t.Puts {
		n += len(p.Value)
	}
	return n
}

// rejectBatch returns a batch that the table will never accept to the dispatcher.
func (l *Leader) rejectBatch(b *dispatch.Batch, rows int, err error) {
	l.options.Log.WithField("rows", rows).WithError(err).Error("table has rejected a commit; its jobs are committed one by one")
	l.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.CommitRejected(now, b) })
	l.requestCommit()
}

// refuseUnsent refuses the new jobs that wait for the commit in flight, once commits have
// failed for as long as new submissions are refused at once.
func (l *Leader) refuseUnsent() {
	l.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) {
		if failing := now.Sub(l.failingSince); !l.failingSince.IsZero() && failing > refuseSubmissionsAfter {
			d.RefuseUnsent(retryAfterOutage(failing))
		}
	})
}

// maxRepeatDelay is the largest pause between the starts of two attempts of a commit with
// an unknown outcome.
const maxRepeatDelay = 600 * time.Millisecond

// repeatDelay returns the pause before a commit with an unknown outcome is repeated.
// Attempts that fail at once, such as by a reset, are repeated at a falling rate: a commit
// may be hundreds of kilobytes, and its repetitions must not fill a thin link.
func repeatDelay(attempt int, took time.Duration, refused bool) time.Duration {
	pause := min(retryDelay<<min(attempt-1, 3), maxRepeatDelay) - took
	if refused {
		return max(pause, retryDelay)
	}
	return max(pause, 0)
}

// recordTableTime records the time of the table's clock in an answer that has just arrived to a call
// sent at a time.
func (l *Leader) recordTableTime(at time.Time, sent oleandervalve.Instant) {
	if at.IsZero() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tableTime, l.tableTimeAt, l.tableTimeSent = at, l.options.now(), sent
}

// latestTableTime returns an upper bound of the present time by the clock of the table, or the zero time
// if it is unknown.
func (l *Leader) latestTableTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tableTime.IsZero() {
		return time.Time{}
	}
	// The answer may have been under way for any part of the time since the call.
	return l.tableTime.Add(l.options.now().Sub(l.tableTimeSent))
}

// estimateTableTime returns the present time by the clock of the table, or the zero time if
// it is unknown.
func (l *Leader) estimateTableTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tableTime.IsZero() {
		return time.Time{}
	}
	return l.tableTime.Add(l.options.now().Sub(l.tableTimeAt))
}

// learnedWriteInterval is the minimum time between two writes of the learned model.
// A new leader needs about this time to relearn what was not written.
const learnedWriteInterval = 2 * time.Second

// dueLearnedRow returns the encoded learned model, or nil if the last leader's is not loaded yet
// or less than learnedWriteInterval has passed since the last write.
func (l *Leader) dueLearnedRow() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	if !l.loaded || now.Sub(l.learnedWrittenAt) < learnedWriteInterval {
		return nil
	}
	l.learnedWrittenAt = now
	return l.dispatcher.LearnedRow()
}

// isOwnCommit reports whether a conflict shows that an earlier attempt of the same
// transaction was applied.
func isOwnCommit(t oleandervalve.Transaction, c *oleandervalve.ConflictError) bool {
	for _, p := range t.Puts {
		if p.Key == c.Key {
			return bytes.Equal(p.Value, c.Current.Value)
		}
	}
	return c.Current.Version == 0 && slices.Contains(t.Deletes, c.Key)
}

// commitSucceeded records an applied commit, whose first attempt was sent at began and the last one at
// started, and a renewal of leadership if the commit contained one, and notifies the dispatcher.
func (l *Leader) commitSucceeded(b *dispatch.Batch, t oleandervalve.Transaction, v oleandervalve.Version, renewed bool, next Row, began, started oleandervalve.Instant) {
	l.mu.Lock()
	if renewed {
		l.row, l.version, l.renewedAt, l.rowSentAt = next, v, started, began
		l.silences.stored(next.Silences)
	}
	l.lastProofAt = leasebound.Proof(started, l.rowSentAt, proofInterval)
	if !l.failingSince.IsZero() {
		l.options.Log.WithField("afterMs", l.options.Clock.Since(l.failingSince).Milliseconds()).Info("table is back")
		l.failingSince = time.Time{}
	}
	l.mu.Unlock()
	l.options.Scope.Counter("commits").Inc(1)
	l.countCommitBytes(t)
	l.options.Scope.Histogram("commit_time", durationBuckets).RecordDuration(l.options.Clock.Since(started.Time))
	l.withDispatcher(func(d *dispatch.Dispatcher, now time.Time) { d.CommitApplied(now, b, v) })
}

// commitFailed records a failed commit. It reports whether commits have failed for
// so long that the leader resigns in favour of an entry that reaches the table.
func (l *Leader) commitFailed(started oleandervalve.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	if l.failingSince.IsZero() {
		l.failingSince = started.Time
		l.options.Log.Warn("table is out of reach")
	}
	failing := now.Sub(l.failingSince)
	if failing < resignAfter {
		return false
	}
	f := l.strongestFollower(failing/2, (*follower).rowReadAge)
	if f == nil {
		return false
	}
	l.options.Log.WithFields(logrus.Fields{"successor": f.id, "failingMs": failing.Milliseconds(), "rowReadAgeMs": f.readAge.Milliseconds()}).Warn("resigning")
	l.successor = f.address
	f.conn.TrySend(takeOverRequest(f.address))
	return true
}

// countCommitBytes counts the bytes of the written values by table.
func (l *Leader) countCommitBytes(t oleandervalve.Transaction) {
	l.mu.Lock()
	l.committedBytes += oleandervalve.Bytes(valueBytes(t))
	l.mu.Unlock()
	for _, p := range t.Puts {
		table, _, _ := strings.Cut(string(p.Key), "/")
		l.options.Scope.Tagged(map[string]string{"table": table}).Counter("commit_bytes").Inc(int64(len(p.Value)))
	}
}
