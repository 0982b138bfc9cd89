package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/work"
)

// handoverTableAge is how recently a successor must have reached the table.
const handoverTableAge = 3 * time.Second

const (
	// strongerFactor is how much larger the processor share of another entry must
	// be for leadership to move there; placement for a grown fleet takes a fifth
	// of a processor, which the weakest entries don't have.
	strongerFactor = 2
	// strongerAfter is how long an entry leads before it looks for a stronger one,
	// so that the others have connected.
	strongerAfter = 700 * time.Millisecond
)

// handedOver reports whether a much stronger entry has been asked to lead.
func (l *Leader) handedOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.stronger(l.options.Clock.Now())
	if f == nil {
		return false
	}
	l.options.Log.WithFields(logrus.Fields{"successor": f.id, "share": f.share, "ownShare": l.options.CPUShare, "tableAgeMs": f.tableAge.Milliseconds()}).Info("handing leadership to a stronger entry")
	l.successor = f.address
	f.conn.TrySend(takeOver(f.address))
	return true
}

// stronger returns the entry to which leadership is to move, or nil; the lock is held.
func (l *Leader) stronger(now time.Time) *follower {
	if l.options.Keep || elapsed(now, l.takenAt) < strongerAfter {
		return nil
	}
	if f := l.strongest(handoverTableAge); f != nil && f.share >= strongerFactor*l.options.CPUShare {
		return f
	}
	return nil
}

// Successor returns the address of the entry that was asked to lead next, or "".
func (l *Leader) Successor() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
}

// strongest returns the connected entry with the largest share of a processor
// that has reached the table within a time; nil if there is none. The lock is held.
func (l *Leader) strongest(tableAge time.Duration) *follower {
	var best *follower
	now := l.options.Clock.Now()
	for _, f := range l.followers {
		if f.tableAge+now.Sub(f.heardAt) > tableAge {
			continue
		}
		if best == nil || f.share > best.share || f.share == best.share && f.id < best.id {
			best = f
		}
	}
	return best
}

// Release hands leadership over before a planned stop.
func (l *Leader) Release(ctx context.Context) {
	l.mu.Lock()
	if f := l.strongest(handoverTableAge); f != nil {
		l.successor = f.address
		l.options.Log.WithFields(logrus.Fields{"successor": f.id, "tableAgeMs": f.tableAge.Milliseconds()}).Info("releasing leadership")
		f.conn.TrySend(takeOver(f.address))
	}
	l.mu.Unlock()
	l.cancel()
	select {
	case <-l.done:
	case <-ctx.Done():
		return
	}
	next := l.row
	next.Released = true
	_, err := l.options.Table.Commit(ctx, oleandervalve.Transaction{
		Conditions: []oleandervalve.Condition{{Key: Key, Version: l.version}},
		Puts:       []oleandervalve.Put{{Key: Key, Value: work.Encode(next)}},
	})
	if err != nil {
		l.options.Log.WithError(err).Warn("leadership was not released in the table; the next leader waits for silence")
	}
}
