package keyrange

import (
	"errors"
	"strconv"
	"time"

	"oleandervalve"
)

const leasePrefix = "keyHomes/"

// LeaseOptions are the times of a home's lease; all processes use the same.
type LeaseOptions struct {
	// Duration is how long a home admits keys after a renewal.
	Duration time.Duration
	// Guard is how much longer the lease row must be unwritten before a takeover.
	Guard time.Duration
	// Every is the interval between renewals.
	Every time.Duration
}

// DefaultLease survives a table outage of ten minutes. A shorter lease moves the
// ranges of a silent home sooner but stops keyed requests in shorter outages.
func DefaultLease() LeaseOptions {
	return LeaseOptions{Duration: 11 * time.Minute, Guard: 30 * time.Second, Every: 10 * time.Second}
}

// LeaseKey returns the key of the lease row of an agent.
func LeaseKey(a oleandervalve.AgentID) oleandervalve.Key {
	return oleandervalve.Key(leasePrefix + string(a))
}

// revoked is the value of a lease row after a takeover. The row is never deleted:
// its version would start again at 1, and a renewal of the old home could then commit.
const revoked = "revoked"

func leaseValue(h Home) string {
	return strconv.FormatUint(h.Incarnation, 16) + " " + string(h.Agent)
}

// HomeOf returns the home that wrote a lease row; false if the row is absent or malformed.
func HomeOf(row oleandervalve.Row) (Home, bool) {
	v := string(row.Value)
	for i := range len(v) {
		if v[i] != ' ' {
			continue
		}
		n, err := strconv.ParseUint(v[:i], 16, 64)
		return Home{Agent: oleandervalve.AgentID(v[i+1:]), Incarnation: n}, err == nil && row.Version != 0
	}
	return Home{}, false
}

// Lease is a home's own view of its lease.
type Lease struct {
	home    Home
	options LeaseOptions
	version oleandervalve.Version
	from    time.Time
	held    bool
	lost    bool
	// open is a renewal whose outcome is not known yet, sent at openedAt.
	open     *oleandervalve.Transaction
	openedAt time.Time
	// resent means that an earlier copy of the open renewal may still take effect.
	resent bool
}

// NewLease returns the lease of a starting home. The row is the agent's lease
// row as read; it may belong to an earlier run of the agent, which must have ended.
func NewLease(h Home, o LeaseOptions, row oleandervalve.Row) *Lease {
	return &Lease{home: h, options: o, version: row.Version}
}

// Home returns the home that the lease belongs to.
func (l *Lease) Home() Home { return l.home }

// Valid reports whether the home may admit fresh keys. The wall clock is checked
// as well, because the monotonic clock stands still while an instance is suspended.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && !l.lost && now.Sub(l.from) < l.options.Duration &&
		now.Round(0).Sub(l.from.Round(0)) < l.options.Duration
}

// Lost reports whether another process took the lease row; the agent then needs a new incarnation.
func (l *Lease) Lost() bool { return l.lost }

// Renew returns the transaction to send, if one is due; a renewal with unknown
// outcome is returned again unchanged, because at most one copy can commit.
func (l *Lease) Renew(now time.Time, id oleandervalve.MutationID) (oleandervalve.Transaction, bool) {
	switch {
	case l.lost:
		return oleandervalve.Transaction{}, false
	case l.open != nil:
		l.resent = true
		return *l.open, true
	case l.held && now.Sub(l.from) < l.options.Every:
		return oleandervalve.Transaction{}, false
	}
	k := LeaseKey(l.home.Agent)
	l.open = &oleandervalve.Transaction{
		ID:         id,
		Conditions: []oleandervalve.Condition{{Key: k, Version: l.version}},
		Puts:       []oleandervalve.Put{{Key: k, Value: []byte(leaseValue(l.home))}},
	}
	l.openedAt, l.resent = now, false
	return *l.open, true
}

// Result takes the result of Commit for the transaction that Renew returned.
func (l *Lease) Result(id oleandervalve.MutationID, c oleandervalve.Committed, err error) {
	if l.open == nil || l.open.ID != id {
		return
	}
	var conflict *oleandervalve.ConflictError
	var unavailable *oleandervalve.UnavailableError
	switch {
	case err == nil && len(c.Versions) == 1:
		l.renewed(c.Versions[0])
	case errors.As(err, &conflict):
		// A read may be old, but a conflict shows that the row was deleted.
		l.lost = l.lost || conflict.Current.Version == 0
		l.Observe(conflict.Current)
	case errors.As(err, &unavailable) && !l.resent:
		l.open = nil
	}
}

// Observe takes the lease row as read back after a conflict or an unknown outcome.
func (l *Lease) Observe(row oleandervalve.Row) {
	switch {
	case l.open != nil && row.Version > l.version && row.MutationID == l.open.ID:
		l.renewed(row.Version)
	case row.Version > l.version && !l.held:
		// A last renewal of an earlier run arrived late; this run starts from its row.
		l.version, l.open = row.Version, nil
	case row.Version > l.version:
		l.lost = true
	}
}

func (l *Lease) renewed(v oleandervalve.Version) {
	l.version, l.from, l.held, l.open = v, l.openedAt, true, nil
}
