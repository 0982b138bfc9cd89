package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/handover"
	"oleandervalve/core/work"
	"oleandervalve/io/peer"
)

// maxSuccessorTableAge is the maximum time since a successor sent its last successful call to the
// table. The table holds a Watch for up to 1.5 s, so the last call that has succeeded may be twice as
// old without any fault.
const maxSuccessorTableAge = 3500 * time.Millisecond

// handoverDelay is the time from the start of a term until the leader looks for a
// stronger entry. It gives the other entries time to connect.
const handoverDelay = 700 * time.Millisecond

// tryHandover asks a much stronger entry to lead, if there is one, and reports
// whether it did.
func (l *Leader) tryHandover() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.handoverTarget(l.options.now())
	if f == nil {
		return false
	}
	l.options.Log.WithFields(logrus.Fields{
		"successor": f.id, "share": f.CPUShare, "ownShare": l.options.CPUShare, "link": f.Link, "ownLink": l.options.Link, "linkFull": l.outflow.Full(), "tableAgeMs": f.tableAge.Milliseconds(),
	}).Info("handing leadership to a stronger entry")
	l.successor = f.address
	f.conn.TrySend(takeOverRequest(f.address))
	return true
}

// handoverTarget returns a much stronger entry that should lead instead, or nil. The
// lock must be held.
func (l *Leader) handoverTarget(now oleandervalve.Instant) *follower {
	if l.options.DisableHandover || now.Sub(l.termStartedAt) < handoverDelay {
		return nil
	}
	own := handover.Entry{CPUShare: l.options.CPUShare, Link: l.options.Link}
	if f := l.strongestFollower(maxSuccessorTableAge, (*follower).tableCallAge); f != nil && handover.HasStrongerProcessor(own, f.Entry) {
		return f
	}
	if !l.outflow.Full() {
		return nil
	}
	return l.bestFollower(maxSuccessorTableAge, (*follower).tableCallAge, func(f, best *follower) bool {
		return handover.HasWiderLink(own, f.Entry) && (best == nil || f.Link > best.Link || f.Link == best.Link && f.id < best.id)
	})
}

// observeOutflow records the bytes sent since the last call. The lock must be held.
func (l *Leader) observeOutflow(now time.Time) {
	sent := l.committedBytes
	l.committedBytes = 0
	count := func(c *peer.Conn, counted *int64) {
		_, total := c.Traffic()
		sent += oleandervalve.Bytes(total - *counted)
		*counted = total
	}
	for _, s := range l.agents {
		count(s.conn, &s.countedBytes)
	}
	for _, f := range l.followers {
		count(f.conn, &f.countedBytes)
	}
	l.outflow.Sent(now, sent)
}

// Successor returns the address of the entry that was asked to lead next, or "" if
// none was asked.
func (l *Leader) Successor() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
}

// tableCallAge returns the age of the entry's last successful call to the table at its last heartbeat.
func (f *follower) tableCallAge() time.Duration { return f.tableAge }

// rowReadAge returns the age of the entry's last successful read of the leader's row at its last
// heartbeat. Unlike the answer to a Watch it shows that the table accepts calls.
func (f *follower) rowReadAge() time.Duration { return f.readAge }

// strongestFollower returns the connected entry with the largest processor share
// among those that have reached the table within maxAge, or nil. The lock must be held.
func (l *Leader) strongestFollower(maxAge time.Duration, age func(*follower) time.Duration) *follower {
	return l.bestFollower(maxAge, age, func(f, best *follower) bool {
		return best == nil || f.CPUShare > best.CPUShare || f.CPUShare == best.CPUShare && f.id < best.id
	})
}

// bestFollower returns the connected entry that no other one replaces, among those that have
// reached the table within maxAge, or nil. The lock must be held.
func (l *Leader) bestFollower(maxAge time.Duration, age func(*follower) time.Duration, replaces func(f, best *follower) bool) *follower {
	var best *follower
	now := l.options.Clock.Now()
	for _, f := range l.followers {
		// The age of an entry that has never reached the table is the largest duration.
		if age(f) <= maxAge-now.Sub(f.heartbeatAt) && replaces(f, best) {
			best = f
		}
	}
	return best
}

// Release ends the term for a planned stop. It asks another entry to take over, if
// one is suitable, and marks the leader's row as released, so that the next leader
// needn't wait until the lease expires.
func (l *Leader) Release(ctx context.Context) {
	l.mu.Lock()
	if f := l.strongestFollower(maxSuccessorTableAge, (*follower).tableCallAge); f != nil {
		l.successor = f.address
		l.options.Log.WithFields(logrus.Fields{"successor": f.id, "tableAgeMs": f.tableAge.Milliseconds()}).Info("releasing leadership")
		f.conn.TrySend(takeOverRequest(f.address))
	}
	l.mu.Unlock()
	l.cancel()
	select {
	case <-l.done:
	case <-ctx.Done():
		return
	}
	next := l.row
	next.Released, next.Silences, next.SentBy = true, l.nameSilences(), l.latestTableTime()
	_, err := l.options.Table.Commit(ctx, oleandervalve.Transaction{
		Conditions: []oleandervalve.Condition{{Key: Key, Version: l.version}},
		Puts:       []oleandervalve.Put{{Key: Key, Value: work.Encode(next)}},
	})
	if err != nil {
		l.options.Log.WithError(err).Warn("leadership was not released in the table; the next leader waits until the lease expires")
	}
}
