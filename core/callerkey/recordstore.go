package callerkey

import (
	"net/http"
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

const (
	// pendingGrace is how long after its deadline an attempt may still finish
	// before its record becomes indeterminate.
	pendingGrace = 10 * time.Second
	// closedRetention is how long a released key retains the ids of its closed
	// attempts, so that a late copy of their Begin does not make the key pending
	// again.
	closedRetention   = time.Minute
	maxClosedAttempts = 4
	// recordOverhead is the memory in bytes of a record without its strings and
	// answer; see docs/measurements-keys.md.
	recordOverhead = 400
	// bucketWidth is the time span of one expiry bucket.
	bucketWidth = 10 * time.Second
	// MaxKeptAnswer is the largest answer in bytes that fits in a frame together
	// with other records.
	MaxKeptAnswer = 24 << 10
)

// Limits bound the records in a record store.
type Limits struct {
	// Retention is how long a record is kept after its attempt has ended.
	Retention time.Duration
	// MaxRecords and MaxBytes limit the records; beyond them, new keys are refused.
	MaxRecords int
	MaxBytes   oleandervalve.Bytes
	// MaxAnswer is the largest answer that is stored, header and body together; at
	// most MaxKeptAnswer.
	MaxAnswer oleandervalve.Bytes
}

// DefaultLimits returns limits that keep records for 24 h in at most 32 MB, which is
// half of an agent's memory.
func DefaultLimits() Limits {
	return Limits{Retention: 24 * time.Hour, MaxRecords: 100_000, MaxBytes: 32 << 20, MaxAnswer: 16 << 10}
}

// recordKey is a key's text with its scope.
type recordKey struct {
	scope Scope
	text  string
}

type attemptID struct {
	entry   oleandervalve.EntryID
	request oleandervalve.RequestID
}

// record is the state of one key. Its status is StatusPending, StatusDone or
// StatusIndeterminate; StatusRefused marks a key that was released by an attempt
// that did not run.
type record struct {
	key       recordKey
	timestamp time.Time
	digest    Digest
	attempt   attemptID
	status    Status
	closed    []attemptID
	// expiresAt is when a pending record becomes indeterminate, or a record with
	// another status is removed.
	expiresAt  time.Time
	httpStatus int
	header     http.Header
	body       []byte
	kept       bool
	size       int64
	// bucket is the number of the expiry bucket that the record is processed from,
	// or -1 after it was removed.
	bucket int64
}

// rangeState is the state of one range at this agent.
type rangeState struct {
	assignment keyrange.Assignment
	// active means that this agent owns the range and has its records.
	active bool
	// transfer is the planned transfer in progress, or nil. During a transfer, new
	// keys are not admitted.
	transfer *outgoingTransfer
}

// RecordStore holds the records of the keys in the ranges that an agent owns.
type RecordStore struct {
	self   keyrange.Owner
	limits Limits
	lease  *keyrange.Lease
	// takeoverMargin is keyrange.TakeoverMargin; a test sets it to 0 to show that
	// the margin is needed.
	takeoverMargin time.Duration
	version        oleandervalve.Version
	ranges         [keyrange.Count]rangeState
	records        map[recordKey]*record
	usedBytes      int64
	// buckets groups the records by expiry time. Each record belongs to one bucket,
	// which is not later than its expiresAt.
	buckets map[int64][]*record
	// lastSwept is the number of the newest bucket that Tick has processed.
	lastSwept int64
	// outgoing and incoming hold the unfinished transfers by id.
	outgoing map[uint64]*outgoingTransfer
	incoming map[uint64]*incomingTransfer
	counters Counters
}

// NewRecordStore returns a record store without records; the lease must belong
// to the same incarnation of the agent.
func NewRecordStore(now time.Time, lease *keyrange.Lease, l Limits) *RecordStore {
	l.MaxAnswer = min(l.MaxAnswer, MaxKeptAnswer)
	return &RecordStore{
		self: lease.Owner(), limits: l, lease: lease, takeoverMargin: keyrange.TakeoverMargin, records: map[recordKey]*record{}, buckets: map[int64][]*record{},
		lastSwept: bucketOf(now) - 1, outgoing: map[uint64]*outgoingTransfer{}, incoming: map[uint64]*incomingTransfer{},
	}
}

// bucketOf returns the number of the expiry bucket of a time.
func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// Begin decides whether an attempt may execute its request.
func (s *RecordStore) Begin(now time.Time, b Begin) Reply { return s.counters.add(s.begin(now, b)) }

// begin is Begin without counting the reply.
func (s *RecordStore) begin(now time.Time, b Begin) Reply {
	reply := Reply{Entry: b.Entry, Request: b.Request, MapVersion: s.version}
	key, err := ParseKey(b.Key)
	if err != nil {
		return reply.withStatus(StatusRefused, ReasonKeyInvalid, 0)
	}
	k := recordKey{Scope{b.Caller, b.Service}, b.Key}
	state := &s.ranges[k.scope.Range(b.Key)]
	r := s.records[k]
	if r != nil && r.status != StatusRefused {
		// During a transfer, the successor may already have released a key that is
		// pending here.
		if state.transfer != nil && r.status != StatusDone {
			return reply.withStatus(StatusTransferring, ReasonKeyTransferring, transferRetryDelay)
		}
		return r.replyTo(reply, b)
	}
	switch {
	case !state.active || b.MapVersion > s.version:
		return reply.withStatus(StatusNotOwner, ReasonOwnerUnreachable, transferRetryDelay)
	case state.transfer != nil:
		return reply.withStatus(StatusTransferring, ReasonKeyTransferring, transferRetryDelay)
	case r != nil && r.isClosed(attemptID{b.Entry, b.Request}):
		return reply.withStatus(StatusRefused, ReasonAttemptClosed, 0)
	case !s.lease.Valid(now):
		return reply.withStatus(StatusIndeterminate, ReasonLeaseInvalid, time.Second)
	}
	if reason := s.indeterminateReason(now, key, state.assignment.TakenOverAt); reason != "" {
		return reply.withStatus(StatusIndeterminate, reason, 0)
	}
	if key.Timestamp.Sub(now) > keyrange.MaxTimestampAhead {
		return reply.withStatus(StatusRefused, ReasonTimestampAhead, 0)
	}
	if r == nil {
		r = &record{key: k, timestamp: key.Timestamp}
		r.updateSize()
		if len(s.records) >= s.limits.MaxRecords || s.usedBytes+r.size > int64(s.limits.MaxBytes) {
			return reply.withStatus(StatusRefused, ReasonKeysFull, time.Second)
		}
		s.add(r)
	}
	r.status, r.digest, r.attempt = StatusPending, b.Digest, attemptID{b.Entry, b.Request}
	s.setExpiry(r, now.Add(max(0, b.Remaining)+pendingGrace))
	return reply.withStatus(StatusPermitted, "", 0)
}

// indeterminateReason returns why a key without a record may have run, or "" if it
// can't have run.
func (s *RecordStore) indeterminateReason(now time.Time, k Key, takenOverAt time.Time) oleandervalve.Reason {
	switch {
	case k.Timestamp.IsZero():
		// A key without a timestamp may be from any time before the takeover.
		if !takenOverAt.IsZero() && now.Before(takenOverAt.Add(s.limits.Retention+s.takeoverMargin)) {
			return ReasonKeyTakenOver
		}
	case !takenOverAt.IsZero() && !k.Timestamp.After(takenOverAt.Add(s.takeoverMargin)):
		return ReasonKeyTakenOver
	case k.Timestamp.Before(now.Add(-s.limits.Retention)):
		return ReasonKeyExpired
	}
	return ""
}

// withStatus returns the reply with a status, a reason and a retry delay.
func (r Reply) withStatus(status Status, reason oleandervalve.Reason, retryAfter time.Duration) Reply {
	r.Status, r.Reason, r.RetryAfter = status, reason, retryAfter
	return r
}

// replyTo returns the replyTo to a Begin for a key that has a record.
func (r *record) replyTo(s Reply, b Begin) Reply {
	switch {
	case r.digest != b.Digest:
		return s.withStatus(StatusMismatch, ReasonBodyMismatch, 0)
	case r.status == StatusDone:
		s.HTTPStatus, s.Header, s.Body, s.Kept = r.httpStatus, r.header, r.body, r.kept
		return s.withStatus(StatusDone, "", 0)
	case r.status == StatusIndeterminate:
		return s.withStatus(StatusIndeterminate, ReasonKeyIndeterminate, 0)
	case r.attempt == attemptID{b.Entry, b.Request}:
		return s.withStatus(StatusPermitted, "", 0)
	}
	return s.withStatus(StatusPending, ReasonKeyPending, time.Second)
}

// Finish records how an attempt ended. The sender repeats Finish until it gets
// StatusRecorded.
func (s *RecordStore) Finish(now time.Time, f Finish) Reply { return s.counters.add(s.finish(now, f)) }

// finish is Finish without counting the reply.
func (s *RecordStore) finish(now time.Time, f Finish) Reply {
	reply := Reply{Entry: f.Entry, Request: f.Request, MapVersion: s.version}
	k := recordKey{Scope{f.Caller, f.Service}, f.Key}
	state := &s.ranges[k.scope.Range(f.Key)]
	switch {
	case !state.active:
		return reply.withStatus(StatusNotOwner, ReasonOwnerUnreachable, transferRetryDelay)
	case state.transfer != nil:
		return reply.withStatus(StatusTransferring, ReasonKeyTransferring, transferRetryDelay)
	}
	reply = reply.withStatus(StatusRecorded, "", 0)
	reply.Outcome = f.Outcome
	r := s.records[k]
	a := attemptID{f.Entry, f.Request}
	if r == nil {
		key, err := ParseKey(f.Key)
		if err != nil || f.Outcome == oleandervalve.OutcomeNotRun {
			return reply
		}
		// The record was lost with a failed owner; the outcome that the attempt
		// reports is authoritative.
		r = &record{key: k, timestamp: key.Timestamp, digest: f.Digest, attempt: a, status: StatusIndeterminate}
		r.updateSize()
		if len(s.records) >= s.limits.MaxRecords || s.usedBytes+r.size > int64(s.limits.MaxBytes) {
			return reply
		}
		s.add(r)
	}
	if r.attempt != a || r.status != StatusPending && r.status != StatusIndeterminate {
		return reply
	}
	switch f.Outcome {
	case oleandervalve.OutcomeAnswered:
		s.storeAnswer(r, f)
	case oleandervalve.OutcomeNotRun:
		s.release(now, r)
		return reply
	default:
		r.status = StatusIndeterminate
	}
	s.setExpiry(r, s.expiry(now, r))
	return reply
}

// storeAnswer marks a record as done. An answer that exceeds the limits is not kept.
func (s *RecordStore) storeAnswer(r *record, f Finish) {
	s.usedBytes -= r.size
	r.status, r.httpStatus, r.header, r.body, r.kept = StatusDone, f.HTTPStatus, f.Header, f.Body, f.Kept
	r.updateSize()
	if n := answerSize(f.Header, f.Body); n > int64(s.limits.MaxAnswer) || s.usedBytes+r.size > int64(s.limits.MaxBytes) {
		r.header, r.body, r.kept = nil, nil, false
		s.counters.TooLarge++
		r.updateSize()
	}
	s.usedBytes += r.size
}

// release lets a new attempt run with the key after an attempt that did not run.
func (s *RecordStore) release(now time.Time, r *record) {
	r.closed = append(r.closed, r.attempt)
	if len(r.closed) > maxClosedAttempts {
		r.closed = append([]attemptID(nil), r.closed[1:]...)
	}
	r.status, r.attempt, r.digest = StatusRefused, attemptID{}, Digest{}
	s.setExpiry(r, now.Add(closedRetention))
}

// expiry returns when a key's record may be removed. From then on, the key's
// timestamp is older than the retention time by the clock of any owner.
func (s *RecordStore) expiry(now time.Time, r *record) time.Time {
	from := now
	if r.timestamp.After(from) {
		from = r.timestamp
	}
	return from.Add(s.limits.Retention + 2*keyrange.MaxClockSkew)
}

// EntryTerminated marks the pending keys of a terminated entry process as
// indeterminate: they may have run and will not run again. It returns the number
// of these keys.
func (s *RecordStore) EntryTerminated(now time.Time, e oleandervalve.EntryID) int {
	n := 0
	for _, r := range s.records {
		if r.status == StatusPending && r.attempt.entry == e && s.ranges[r.key.scope.Range(r.key.text)].transfer == nil {
			r.status, r.expiresAt = StatusIndeterminate, s.expiry(now, r)
			n++
		}
	}
	return n
}

// Tick marks overdue attempts as indeterminate and removes expired records; call
// it every second.
func (s *RecordStore) Tick(now time.Time) {
	for last := bucketOf(now) - 1; s.lastSwept < last; {
		s.lastSwept++
		old := s.buckets[s.lastSwept]
		delete(s.buckets, s.lastSwept)
		for _, r := range old {
			if r.bucket == s.lastSwept {
				s.processExpiry(now, r)
			}
		}
		if len(s.buckets) == 0 {
			s.lastSwept = last
		}
	}
}

// processExpiry handles a record whose bucket was swept. If the record has not
// expired yet, it goes into a later bucket.
func (s *RecordStore) processExpiry(now time.Time, r *record) {
	switch {
	case r.expiresAt.After(now):
	case r.status == StatusPending:
		r.status, r.expiresAt = StatusIndeterminate, s.expiry(now, r)
	default:
		s.remove(r)
		return
	}
	s.insertIntoBucket(r)
}

func (s *RecordStore) add(r *record) {
	s.records[r.key] = r
	s.usedBytes += r.size
}

func (s *RecordStore) remove(r *record) {
	r.bucket = -1
	delete(s.records, r.key)
	s.usedBytes -= r.size
}

// setExpiry sets expiresAt. If the new time is later, the record stays in its
// bucket and moves to the right one when Tick processes the bucket.
func (s *RecordStore) setExpiry(r *record, expiresAt time.Time) {
	first := r.expiresAt.IsZero()
	earlier := expiresAt.Before(r.expiresAt)
	r.expiresAt = expiresAt
	if first || earlier {
		s.insertIntoBucket(r)
	}
}

// insertIntoBucket adds a record to the bucket of its expiry time, or to the next one
// that Tick processes.
func (s *RecordStore) insertIntoBucket(r *record) {
	b := max(bucketOf(r.expiresAt), s.lastSwept+1)
	r.bucket = b
	s.buckets[b] = append(s.buckets[b], r)
}

func (r *record) isClosed(a attemptID) bool {
	for _, c := range r.closed {
		if c == a {
			return true
		}
	}
	return false
}

// updateSize recomputes the estimated memory of the record.
func (r *record) updateSize() {
	r.size = recordOverhead + int64(len(r.key.text)+len(r.key.scope.Caller)+len(r.key.scope.Service)) + answerSize(r.header, r.body)
}

// answerSize estimates the memory of an answer in bytes.
func answerSize(header http.Header, body []byte) int64 {
	n := int64(len(body))
	for k, v := range header {
		n += int64(len(k)) + 64
		for _, x := range v {
			n += int64(len(x)) + 16
		}
	}
	return n
}

// Usage returns the number of records and the estimated memory. The memory also
// includes imported records of transfers that are not yet resolved.
func (s *RecordStore) Usage() (int, oleandervalve.Bytes) {
	return len(s.records), oleandervalve.Bytes(s.usedBytes)
}

// MapVersion returns the version of the newest map that was applied.
func (s *RecordStore) MapVersion() oleandervalve.Version { return s.version }
