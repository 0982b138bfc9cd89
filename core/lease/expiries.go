package lease

import (
	"sort"
	"time"

	"oleandervalve"
)

const (
	// expiryRead is the interval at which the rows of worker leases are read to
	// look for expired workers: 16 rows per 5 s are 3.2 reads/s.
	expiryRead = 5 * time.Second
	// expiryRetry is the wait before the same worker is proposed again.
	expiryRetry = 5 * time.Second
)

// Lost proposes a worker for takeover under a condition that the table checks.
type Lost struct {
	Worker    oleandervalve.WorkerID
	Condition oleandervalve.Condition
}

// Expiries tells an entry which workers' leases seem to have expired. It only
// times the attempts: it estimates the table's clock from the time of the last
// read and the time since, and the transaction's condition decides.
type Expiries struct {
	length   time.Duration
	guard    time.Duration
	rows     map[oleandervalve.Key]oleandervalve.Row
	tableAt  time.Time
	seenAt   time.Time
	nextRead time.Time
	proposed map[oleandervalve.WorkerID]time.Time
}

// NewExpiries returns a view without rows.
func NewExpiries(length, guard time.Duration) *Expiries {
	return &Expiries{
		length: length, guard: guard,
		rows: map[oleandervalve.Key]oleandervalve.Row{}, proposed: map[oleandervalve.WorkerID]time.Time{},
	}
}

// ReadDue reports whether the rows under "workerLeases/" should be read now.
func (e *Expiries) ReadDue(now time.Time) bool {
	if now.Before(e.nextRead) {
		return false
	}
	e.nextRead = now.Add(expiryRead)
	return true
}

// Observe takes a page of the rows of worker leases that was received now.
func (e *Expiries) Observe(now time.Time, p oleandervalve.Page) {
	for _, row := range p.Rows {
		if row.Version >= e.rows[row.Key].Version {
			e.rows[row.Key] = row
		}
	}
	if p.At.After(e.tableAt) {
		e.tableAt, e.seenAt = p.At, now
	}
}

// Due returns the workers to take over from, in order. A worker is proposed
// again later, in case its takeover was refused or found no tasks yet.
func (e *Expiries) Due(now time.Time) ([]Lost, error) {
	tableNow := e.tableAt.Add(oleandervalve.Elapsed(now, e.seenAt))
	keys := make([]oleandervalve.Key, 0, len(e.rows))
	for k := range e.rows {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	var list []Lost
	for _, k := range keys {
		expired, err := ExpiredBy(e.rows[k], tableNow, e.length, e.guard)
		if err != nil {
			return nil, err
		}
		for _, w := range expired {
			if now.Before(e.proposed[w].Add(expiryRetry)) {
				continue
			}
			c, err := Expired(e.rows[k], w, e.length, e.guard)
			if err != nil {
				return nil, err
			}
			e.proposed[w] = now
			list = append(list, Lost{Worker: w, Condition: c})
		}
	}
	return list, nil
}
