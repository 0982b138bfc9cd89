package leader

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/work"
)

// commitLoop commits one batch after another until leadership is lost. All
// changes that gather during a commit go into the next one.
func (l *Leader) commitLoop(ctx context.Context) error {
	usual := firstCommitTimeout / timeoutFactor
	renew := l.options.Clock.NewTimer(RenewEvery)
	defer renew.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.kick:
		case <-renew.Chan():
		}
		l.mu.Lock()
		l.dispatcher.Schedule(l.options.Clock.Now())
		l.carryOut(l.dispatcher.TakeActions())
		b := l.dispatcher.Batch()
		due := elapsed(l.options.Clock.Now(), l.provedAt) >= RenewEvery
		l.mu.Unlock()
		if b == nil && !due {
			renew.Reset(RenewEvery)
			continue
		}
		if b == nil {
			b = &dispatch.Batch{}
		}
		took, err := l.commit(ctx, b, usual)
		if err != nil {
			return err
		}
		usual = (7*usual + took) / 8
		renew.Reset(RenewEvery)
		if l.handedOver() {
			return ErrHandedOver
		}
	}
}

// commit takes one batch to its result and returns how long the last call took.
func (l *Leader) commit(ctx context.Context, b *dispatch.Batch, usual time.Duration) (time.Duration, error) {
	t := b.Transaction
	t.Conditions = append([]oleandervalve.Condition{{Key: Key, Version: l.version}}, t.Conditions...)
	next := l.row
	next.Renewal++
	var renewal []byte
	if len(t.Puts) == 0 || elapsed(l.options.Clock.Now(), l.provedAt) >= RenewEvery {
		renewal = work.Encode(next)
		t.Puts = append([]oleandervalve.Put{{Key: Key, Value: renewal}}, t.Puts...)
	}
	if value := l.learned(); value != nil && len(t.Puts) > 0 {
		t.Puts = append(slices.Clip(t.Puts), oleandervalve.Put{Key: dispatch.LearnedKey, Value: value})
	}
	timeout := min(max(firstCommitTimeout, timeoutFactor*usual), longestCommitTimeout)
	// sent means that an earlier attempt may still take effect.
	sent := false
	for attempt := 1; ; attempt++ {
		started := l.options.Clock.Now()
		call, cancel := context.WithTimeout(ctx, timeout)
		c, err := l.options.Table.Commit(call, t)
		cancel()
		took := l.options.Clock.Since(started)
		if err == nil {
			l.applied(b, c.Versions[0], renewal != nil, next, started)
			return took, nil
		}
		if ctx.Err() != nil {
			return 0, nil //nolint:nilerr // the term ends as planned; the next leader resolves the commit
		}
		var conflict *oleandervalve.ConflictError
		if errors.As(err, &conflict) {
			if ours(t, conflict) {
				l.applied(b, conflict.Current.Version, renewal != nil, next, started)
				return took, nil
			}
			l.options.Log.WithFields(logrus.Fields{"row": conflict.Key, "expected": conflict.Expected, "found": conflict.Current.Version}).Warn("commit conflicts with another leader")
			return 0, ErrFenced
		}
		var unavailable *oleandervalve.UnavailableError
		if !errors.As(err, &unavailable) {
			sent = true
			timeout = min(2*timeout, longestCommitTimeout)
		}
		l.options.Log.WithFields(logrus.Fields{"attempt": attempt, "rows": len(t.Puts), "tookMs": took.Milliseconds(), "mayApply": sent}).WithError(err).Warn("commit failed")
		if l.failed(started) {
			return 0, ErrResigned
		}
		if !sent {
			l.do(func(d *dispatch.Dispatcher, now time.Time) { d.CommitRefused(now, b) })
			l.options.Clock.Sleep(commitRetry)
			l.wake()
			return usual, nil
		}
		if errors.As(err, &unavailable) {
			l.options.Clock.Sleep(commitRetry)
		}
	}
}

// learnEvery is the shortest time between two writes of what is learned; a new
// leader learns as much again in about this time.
const learnEvery = 2 * time.Second

// learned returns the value of the row of what is learned if it is due, or nil.
func (l *Leader) learned() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	if now.Sub(l.learnedAt) < learnEvery {
		return nil
	}
	l.learnedAt = now
	return l.dispatcher.LearnedRow()
}

// ours reports whether a conflict shows that the transaction itself was applied before.
func ours(t oleandervalve.Transaction, c *oleandervalve.ConflictError) bool {
	for _, p := range t.Puts {
		if p.Key == c.Key {
			return bytes.Equal(p.Value, c.Current.Value)
		}
	}
	return c.Current.Version == 0 && slices.Contains(t.Deletes, c.Key)
}

func (l *Leader) applied(b *dispatch.Batch, v oleandervalve.Version, renewed bool, next Row, started time.Time) {
	l.mu.Lock()
	if renewed {
		l.row, l.version = next, v
	}
	l.provedAt = started
	if !l.failingSince.IsZero() {
		l.options.Log.WithField("afterMs", l.options.Clock.Since(l.failingSince).Milliseconds()).Info("table is back")
		l.failingSince = time.Time{}
	}
	l.mu.Unlock()
	l.options.Scope.Counter("commits").Inc(1)
	l.options.Scope.Histogram("commit_time", timeBuckets).RecordDuration(l.options.Clock.Since(started))
	l.do(func(d *dispatch.Dispatcher, now time.Time) { d.CommitApplied(now, b, v) })
}

// failed records a failed commit and reports whether another entry should lead.
func (l *Leader) failed(started time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	if l.failingSince.IsZero() {
		l.failingSince = started
		l.options.Log.Warn("table is out of reach")
	}
	failing := now.Sub(l.failingSince)
	if failing < resignAfter {
		return false
	}
	f := l.strongest(failing / 2)
	if f == nil {
		return false
	}
	l.options.Log.WithFields(logrus.Fields{"successor": f.id, "failingMs": failing.Milliseconds(), "tableAgeMs": f.tableAge.Milliseconds()}).Warn("resigning")
	l.successor = f.address
	f.conn.TrySend(takeOver(f.address))
	return true
}
