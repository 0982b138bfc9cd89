package keyrange

import (
	"errors"
	"strconv"
	"time"

	"oleandervalve"
)

const leasePrefix = "keyHomes/"

// LeaseOptions are the durations of an owner's lease; all processes must use the same values.
type LeaseOptions struct {
	// Duration is how long an owner admits keys after a renewal.
	Duration time.Duration
	// Guard is how much longer than Duration the lease row must be unwritten before a takeover.
	Guard time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
}

// DefaultLease returns options that tolerate a table outage of ten minutes. With a
// shorter lease, the ranges of an owner that misses renewals are taken over sooner, but keyed
// requests stop in shorter table outages.
func DefaultLease() LeaseOptions {
	return LeaseOptions{Duration: 11 * time.Minute, Guard: 30 * time.Second, RenewInterval: 10 * time.Second}
}

// LeaseKey returns the key of the lease row of an agent.
func LeaseKey(a oleandervalve.AgentID) oleandervalve.Key {
	return oleandervalve.Key(leasePrefix + string(a))
}

// revoked is the value of a lease row after a takeover. The row is never deleted:
// its version would restart at 1, and a renewal of the old owner could then commit.
const revoked = "revoked"

// leaseValue returns the value of an owner's lease row, which OwnerOf reads.
func leaseValue(o Owner) string {
	return strconv.FormatUint(o.Incarnation, 16) + " " + string(o.Agent)
}

// OwnerOf returns the owner that wrote a lease row; false if the row is absent or malformed.
func OwnerOf(row oleandervalve.Row) (Owner, bool) {
	v := string(row.Value)
	for i := range len(v) {
		if v[i] != ' ' {
			continue
		}
		n, err := strconv.ParseUint(v[:i], 16, 64)
		return Owner{Agent: oleandervalve.AgentID(v[i+1:]), Incarnation: n}, err == nil && row.Version != 0
	}
	return Owner{}, false
}

// Lease is an owner's local view of its own lease.
type Lease struct {
	owner   Owner
	options LeaseOptions
	uptime  oleandervalve.Uptime
	version oleandervalve.Version
	// validFrom is when the last committed renewal was first sent.
	validFrom oleandervalve.Instant
	// held is true from the first committed renewal on.
	held bool
	// lost means that another process has overwritten the row.
	lost bool
	// inDoubt is a renewal, sent at sentAt, whose outcome is not known yet.
	inDoubt *oleandervalve.Transaction
	sentAt  oleandervalve.Instant
	// resent means that the in-doubt renewal was sent more than once, so that an
	// earlier copy may still take effect.
	resent bool
}

// NewLease returns the lease of an owner that is starting. The row is the agent's
// lease row as read; it may have been written by an earlier incarnation of
// the agent, which must have terminated. Parameter u may be nil if instances are never
// suspended.
func NewLease(owner Owner, o LeaseOptions, row oleandervalve.Row, u oleandervalve.Uptime) *Lease {
	return &Lease{owner: owner, options: o, uptime: u, version: row.Version}
}

// instant returns the reading of the clocks at time now.
func (l *Lease) instant(now time.Time) oleandervalve.Instant {
	i := oleandervalve.Instant{Time: now}
	if l.uptime != nil {
		i.Uptime = l.uptime()
	}
	return i
}

// Owner returns the owner that the lease belongs to.
func (l *Lease) Owner() Owner { return l.owner }

// Valid reports whether the owner may admit new keys. It checks the uptime as well,
// because the monotonic clock stops while an instance is suspended, and the time of day,
// which the timestamps of keys are compared with.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && !l.lost && l.instant(now).Sub(l.validFrom) < l.options.Duration &&
		now.Round(0).Sub(l.validFrom.Time.Round(0)) < l.options.Duration
}

// Lost reports whether another process has overwritten the lease row; the agent
// then needs a new incarnation.
func (l *Lease) Lost() bool { return l.lost }

// Renew returns the renewal transaction to send, if the renewal interval has
// passed. While the outcome of a renewal is unknown, it returns that transaction
// again unchanged, because at most one copy can commit.
func (l *Lease) Renew(now time.Time, id oleandervalve.MutationID) (oleandervalve.Transaction, bool) {
	switch {
	case l.lost:
		return oleandervalve.Transaction{}, false
	case l.inDoubt != nil:
		l.resent = true
		return *l.inDoubt, true
	case l.held && l.instant(now).Sub(l.validFrom) < l.options.RenewInterval:
		return oleandervalve.Transaction{}, false
	}
	k := LeaseKey(l.owner.Agent)
	l.inDoubt = &oleandervalve.Transaction{
		ID:         id,
		Conditions: []oleandervalve.Condition{{Key: k, Version: l.version}},
		Puts:       []oleandervalve.Put{{Key: k, Value: []byte(leaseValue(l.owner))}},
	}
	l.sentAt, l.resent = l.instant(now), false
	return *l.inDoubt, true
}

// HandleResult handles the result of committing the transaction that Renew returned.
func (l *Lease) HandleResult(id oleandervalve.MutationID, c oleandervalve.Committed, err error) {
	if l.inDoubt == nil || l.inDoubt.ID != id {
		return
	}
	var conflict *oleandervalve.ConflictError
	var unavailable *oleandervalve.UnavailableError
	switch {
	case err == nil && len(c.Versions) == 1:
		l.recordRenewal(c.Versions[0])
	case errors.As(err, &conflict):
		// A read may return an old version, but version 0 in a conflict means that
		// the row was deleted.
		l.lost = l.lost || conflict.Current.Version == 0
		l.Observe(conflict.Current)
	case errors.As(err, &unavailable) && !l.resent:
		l.inDoubt = nil
	}
}

// Observe handles the lease row as read back after a conflict or an unknown outcome.
func (l *Lease) Observe(row oleandervalve.Row) {
	switch {
	case l.inDoubt != nil && row.Version > l.version && row.MutationID == l.inDoubt.ID:
		l.recordRenewal(row.Version)
	case row.Version > l.version && !l.held:
		// The last renewal of an earlier incarnation committed late; this one continues
		// from that version.
		l.version, l.inDoubt = row.Version, nil
	case row.Version > l.version:
		l.lost = true
	}
}

func (l *Lease) recordRenewal(v oleandervalve.Version) {
	l.version, l.validFrom, l.held, l.inDoubt = v, l.sentAt, true, nil
}
