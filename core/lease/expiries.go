package lease

import (
	"sort"
	"time"

	"oleandervalve"
)

const (
	// expiryReadInterval is the time between two reads of the worker lease rows:
	// 16 rows per 5 s are 3.2 reads/s.
	expiryReadInterval = 5 * time.Second
	// takeoverRetryInterval is the minimum time between two takeover proposals
	// for the same worker.
	takeoverRetryInterval = 5 * time.Second
)

// ExpiredWorker is a worker whose tasks may be taken over, with the condition
// that the table checks when the takeover commits.
type ExpiredWorker struct {
	Worker    oleandervalve.WorkerID
	Condition oleandervalve.Condition
}

// ExpiryDetector lists the workers whose leases have probably expired. It only
// decides when to attempt a takeover: it estimates the table's current time as
// the table's time of the last read plus the local time elapsed since. Whether
// a lease has expired is decided by the condition of the takeover transaction.
type ExpiryDetector struct {
	ttl   time.Duration
	guard time.Duration
	rows  map[oleandervalve.Key]oleandervalve.Row
	// lastReadAt is the table's time of the newest page, receivedAt the local time
	// at which it arrived.
	lastReadAt time.Time
	receivedAt time.Time
	nextRead   time.Time
	proposedAt map[oleandervalve.WorkerID]time.Time
}

// NewExpiryDetector returns a detector that has not observed any rows.
func NewExpiryDetector(ttl, guard time.Duration) *ExpiryDetector {
	return &ExpiryDetector{
		ttl: ttl, guard: guard,
		rows: map[oleandervalve.Key]oleandervalve.Row{}, proposedAt: map[oleandervalve.WorkerID]time.Time{},
	}
}

// StartRead reports whether the rows under "workerLeases/" should be read now,
// and if so schedules the next read.
func (e *ExpiryDetector) StartRead(now time.Time) bool {
	if now.Before(e.nextRead) {
		return false
	}
	e.nextRead = now.Add(expiryReadInterval)
	return true
}

// Observe records a page of worker lease rows that was received at time now.
func (e *ExpiryDetector) Observe(now time.Time, p oleandervalve.Page) {
	for _, row := range p.Rows {
		if row.Version >= e.rows[row.Key].Version {
			e.rows[row.Key] = row
		}
	}
	if p.At.After(e.lastReadAt) {
		e.lastReadAt, e.receivedAt = p.At, now
	}
}

// Expired returns the workers whose tasks to take over, ordered by row and ID.
// A worker is returned again after takeoverRetryInterval, because an earlier
// takeover may have been refused or have found no tasks yet.
func (e *ExpiryDetector) Expired(now time.Time) ([]ExpiredWorker, error) {
	tableNow := e.lastReadAt.Add(oleandervalve.Elapsed(now, e.receivedAt))
	keys := make([]oleandervalve.Key, 0, len(e.rows))
	for k := range e.rows {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	var list []ExpiredWorker
	for _, k := range keys {
		expired, err := ExpiredWorkers(e.rows[k], tableNow, e.ttl, e.guard)
		if err != nil {
			return nil, err
		}
		for _, w := range expired {
			if now.Before(e.proposedAt[w].Add(takeoverRetryInterval)) {
				continue
			}
			c, err := TakeoverCondition(e.rows[k], w, e.ttl, e.guard)
			if err != nil {
				return nil, err
			}
			e.proposedAt[w] = now
			list = append(list, ExpiredWorker{Worker: w, Condition: c})
		}
	}
	return list, nil
}
