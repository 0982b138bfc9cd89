package callerkey

import (
	"net/http"
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

const (
	// pendingGrace is how long after its deadline an attempt may still finish before its record becomes lost.
	pendingGrace = 10 * time.Second
	// closedRetention is how long a freed key remembers its closed attempts, so
	// that a late copy of their Begin does not make the key pending again.
	closedRetention = time.Minute
	maxClosed       = 4
	// recordBytes is the memory of a record without its strings and answer; see docs/measurements-keys.md.
	recordBytes = 400
	bucketWidth = 10 * time.Second
	// MaxKeptAnswer is the largest answer in bytes that fits a frame together with other records.
	MaxKeptAnswer = 24 << 10
)

// Limits bound the records of a home.
type Limits struct {
	// Retention is how long a record is kept after the attempt ended.
	Retention time.Duration
	// MaxRecords and MaxBytes bound what is kept; a fresh key beyond them is refused.
	MaxRecords int
	MaxBytes   oleandervalve.Bytes
	// MaxAnswer is the largest answer kept, header and body together; at most MaxKeptAnswer.
	MaxAnswer oleandervalve.Bytes
}

// DefaultLimits keep records for 24 h in at most 32 MB, half of an agent's memory.
func DefaultLimits() Limits {
	return Limits{Retention: 24 * time.Hour, MaxRecords: 100_000, MaxBytes: 32 << 20, MaxAnswer: 16 << 10}
}

type recordKey struct {
	scope Scope
	text  string
}

type attemptID struct {
	entry   oleandervalve.EntryID
	request oleandervalve.RequestID
}

// record is what a home keeps of a key. Its status is pending, done or lost;
// refused marks a key freed by an attempt that did not run.
type record struct {
	key     recordKey
	at      time.Time
	digest  Digest
	attempt attemptID
	status  Status
	closed  []attemptID
	// due is when a pending record becomes lost or another one is dropped.
	due        time.Time
	httpStatus int
	header     http.Header
	body       []byte
	kept       bool
	size       int64
	// bucket is the number of the bucket to sweep the record from, or -1 after it was dropped.
	bucket int64
}

type rangeState struct {
	assignment keyrange.Assignment
	serving    bool
	// transfer is the planned move in progress; fresh keys are not admitted.
	transfer *transfer
}

// Home holds the records of the keys whose home an agent is.
type Home struct {
	self   keyrange.Owner
	limits Limits
	lease  *keyrange.Lease
	// margin is keyrange.Margin; a test sets it to 0 to show that the margin is needed.
	margin  time.Duration
	version oleandervalve.Version
	ranges  [keyrange.Count]rangeState
	records map[recordKey]*record
	bytes   int64
	// buckets holds each record once, under a time not later than its due time.
	buckets  map[int64][]*record
	swept    int64
	outgoing map[uint64]*transfer
	incoming map[uint64]*intake
	counters Counters
}

// NewHome returns a home without records; the lease must be of the same agent run.
func NewHome(now time.Time, lease *keyrange.Lease, l Limits) *Home {
	l.MaxAnswer = min(l.MaxAnswer, MaxKeptAnswer)
	return &Home{
		self: lease.Owner(), limits: l, lease: lease, margin: keyrange.TakeoverMargin, records: map[recordKey]*record{}, buckets: map[int64][]*record{},
		swept: bucketOf(now) - 1, outgoing: map[uint64]*transfer{}, incoming: map[uint64]*intake{},
	}
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// Begin decides whether an attempt may execute its request.
func (h *Home) Begin(now time.Time, b Begin) State { return h.counters.add(h.begin(now, b)) }

func (h *Home) begin(now time.Time, b Begin) State {
	s := State{Entry: b.Entry, Request: b.Request, MapVersion: h.version}
	key, err := ParseKey(b.Key)
	if err != nil {
		return s.with(StatusRefused, ReasonKeyInvalid, 0)
	}
	k := recordKey{Scope{b.Caller, b.Service}, b.Key}
	g := &h.ranges[k.scope.Range(b.Key)]
	r := h.records[k]
	if r != nil && r.status != StatusRefused {
		// During a move the successor may already have freed a key that is pending here.
		if g.transfer != nil && r.status != StatusDone {
			return s.with(StatusMoving, ReasonKeyMoving, moveRetry)
		}
		return r.answer(s, b)
	}
	switch {
	case !g.serving || b.MapVersion > h.version:
		return s.with(StatusNotHome, ReasonKeyHome, moveRetry)
	case g.transfer != nil:
		return s.with(StatusMoving, ReasonKeyMoving, moveRetry)
	case r != nil && r.isClosed(attemptID{b.Entry, b.Request}):
		return s.with(StatusRefused, ReasonClosed, 0)
	case !h.lease.Valid(now):
		return s.with(StatusLost, ReasonKeyLease, time.Second)
	}
	if reason := h.unprovable(now, key, g.assignment.TakenOverAt); reason != "" {
		return s.with(StatusLost, reason, 0)
	}
	if key.At.Sub(now) > keyrange.MaxTimestampAhead {
		return s.with(StatusRefused, ReasonKeyAhead, 0)
	}
	if r == nil {
		r = &record{key: k, at: key.At}
		r.measure()
		if len(h.records) >= h.limits.MaxRecords || h.bytes+r.size > int64(h.limits.MaxBytes) {
			return s.with(StatusRefused, ReasonKeysFull, time.Second)
		}
		h.add(r)
	}
	r.status, r.digest, r.attempt = StatusPending, b.Digest, attemptID{b.Entry, b.Request}
	h.schedule(r, now.Add(max(0, b.Remaining)+pendingGrace))
	return s.with(StatusFresh, "", 0)
}

// unprovable returns why a key without a record may have run, or "".
func (h *Home) unprovable(now time.Time, k Key, since time.Time) oleandervalve.Reason {
	switch {
	case k.At.IsZero():
		// A key without a timestamp could be of any time before the takeover.
		if !since.IsZero() && now.Before(since.Add(h.limits.Retention+h.margin)) {
			return ReasonKeyTakenOver
		}
	case !since.IsZero() && !k.At.After(since.Add(h.margin)):
		return ReasonKeyTakenOver
	case k.At.Before(now.Add(-h.limits.Retention)):
		return ReasonKeyExpired
	}
	return ""
}

func (s State) with(status Status, reason oleandervalve.Reason, retry time.Duration) State {
	s.Status, s.Reason, s.RetryAfter = status, reason, retry
	return s
}

func (r *record) answer(s State, b Begin) State {
	switch {
	case r.digest != b.Digest:
		return s.with(StatusMismatch, ReasonKeyBody, 0)
	case r.status == StatusDone:
		s.HTTPStatus, s.Header, s.Body, s.Kept = r.httpStatus, r.header, r.body, r.kept
		return s.with(StatusDone, "", 0)
	case r.status == StatusLost:
		return s.with(StatusLost, ReasonKeyLost, 0)
	case r.attempt == attemptID{b.Entry, b.Request}:
		return s.with(StatusFresh, "", 0)
	}
	return s.with(StatusPending, ReasonKeyPending, time.Second)
}

// Finish records how an attempt ended. Only StatusRecorded ends the sender's repetition.
func (h *Home) Finish(now time.Time, f Finish) State { return h.counters.add(h.finish(now, f)) }

func (h *Home) finish(now time.Time, f Finish) State {
	s := State{Entry: f.Entry, Request: f.Request, MapVersion: h.version}
	k := recordKey{Scope{f.Caller, f.Service}, f.Key}
	g := &h.ranges[k.scope.Range(f.Key)]
	switch {
	case !g.serving:
		return s.with(StatusNotHome, ReasonKeyHome, moveRetry)
	case g.transfer != nil:
		return s.with(StatusMoving, ReasonKeyMoving, moveRetry)
	}
	s = s.with(StatusRecorded, "", 0)
	s.Outcome = f.Outcome
	r := h.records[k]
	a := attemptID{f.Entry, f.Request}
	if r == nil {
		key, err := ParseKey(f.Key)
		if err != nil || f.Outcome == oleandervalve.OutcomeNotRun {
			return s
		}
		// The record was lost with an earlier home; what the attempt reports is certain.
		r = &record{key: k, at: key.At, digest: f.Digest, attempt: a, status: StatusLost}
		r.measure()
		if len(h.records) >= h.limits.MaxRecords || h.bytes+r.size > int64(h.limits.MaxBytes) {
			return s
		}
		h.add(r)
	}
	if r.attempt != a || r.status != StatusPending && r.status != StatusLost {
		return s
	}
	switch f.Outcome {
	case oleandervalve.OutcomeAnswered:
		h.done(r, f)
	case oleandervalve.OutcomeNotRun:
		h.free(now, r)
		return s
	default:
		r.status = StatusLost
	}
	h.schedule(r, h.expiry(now, r))
	return s
}

func (h *Home) done(r *record, f Finish) {
	h.bytes -= r.size
	r.status, r.httpStatus, r.header, r.body, r.kept = StatusDone, f.HTTPStatus, f.Header, f.Body, f.Kept
	r.measure()
	if n := answerSize(f.Header, f.Body); n > int64(h.limits.MaxAnswer) || h.bytes+r.size > int64(h.limits.MaxBytes) {
		r.header, r.body, r.kept = nil, nil, false
		h.counters.TooLarge++
		r.measure()
	}
	h.bytes += r.size
}

// free makes a key fresh again after an attempt that did not run.
func (h *Home) free(now time.Time, r *record) {
	r.closed = append(r.closed, r.attempt)
	if len(r.closed) > maxClosed {
		r.closed = append([]attemptID(nil), r.closed[1:]...)
	}
	r.status, r.attempt, r.digest = StatusRefused, attemptID{}, Digest{}
	h.schedule(r, now.Add(closedRetention))
}

// expiry returns when a key's record may be dropped. From then on the key's
// timestamp is older than the retention time by the clock of any home.
func (h *Home) expiry(now time.Time, r *record) time.Time {
	from := now
	if r.at.After(from) {
		from = r.at
	}
	return from.Add(h.limits.Retention + 2*keyrange.MaxClockSkew)
}

// EntryLost marks the pending keys of a lost entry process as lost: they may
// have run and will not run again. It returns how many there were.
func (h *Home) EntryLost(now time.Time, e oleandervalve.EntryID) int {
	n := 0
	for _, r := range h.records {
		if r.status == StatusPending && r.attempt.entry == e && h.ranges[r.key.scope.Range(r.key.text)].transfer == nil {
			r.status, r.due = StatusLost, h.expiry(now, r)
			n++
		}
	}
	return n
}

// Tick ends overdue attempts and drops old records; call it every second.
func (h *Home) Tick(now time.Time) {
	for last := bucketOf(now) - 1; h.swept < last; {
		h.swept++
		old := h.buckets[h.swept]
		delete(h.buckets, h.swept)
		for _, r := range old {
			if r.bucket == h.swept {
				h.sweep(now, r)
			}
		}
		if len(h.buckets) == 0 {
			h.swept = last
		}
	}
}

func (h *Home) sweep(now time.Time, r *record) {
	switch {
	case r.due.After(now):
	case r.status == StatusPending:
		r.status, r.due = StatusLost, h.expiry(now, r)
	default:
		h.drop(r)
		return
	}
	h.insert(r)
}

func (h *Home) add(r *record) {
	h.records[r.key] = r
	h.bytes += r.size
}

func (h *Home) drop(r *record) {
	r.bucket = -1
	delete(h.records, r.key)
	h.bytes -= r.size
}

// schedule sets the due time. A record that is in a bucket already moves when that bucket is swept.
func (h *Home) schedule(r *record, due time.Time) {
	first := r.due.IsZero()
	earlier := due.Before(r.due)
	r.due = due
	if first || earlier {
		h.insert(r)
	}
}

func (h *Home) insert(r *record) {
	b := max(bucketOf(r.due), h.swept+1)
	r.bucket = b
	h.buckets[b] = append(h.buckets[b], r)
}

func (r *record) isClosed(a attemptID) bool {
	for _, c := range r.closed {
		if c == a {
			return true
		}
	}
	return false
}

func (r *record) measure() {
	r.size = recordBytes + int64(len(r.key.text)+len(r.key.scope.Caller)+len(r.key.scope.Service)) + answerSize(r.header, r.body)
}

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

// Usage returns the number of records and their estimated memory.
func (h *Home) Usage() (int, oleandervalve.Bytes) {
	return len(h.records), oleandervalve.Bytes(h.bytes)
}

// MapVersion returns the version of the map that the home knows.
func (h *Home) MapVersion() oleandervalve.Version { return h.version }
