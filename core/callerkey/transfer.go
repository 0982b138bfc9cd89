package callerkey

import (
	"sort"
	"strconv"
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

const (
	// transferRetryDelay is how long an entry waits before it repeats a request while
	// a range is being transferred.
	transferRetryDelay = 50 * time.Millisecond
	// maxExportBytes leaves free capacity in a frame of 64 KiB for one more record
	// with the largest answer.
	maxExportBytes = 32 << 10
	// exportWindow is the maximum number of parts in flight.
	exportWindow = 8
)

// outgoingTransfer is a planned transfer of ranges to another owner. The ranges
// admit no new keys until the map shows how the transfer ended.
type outgoingTransfer struct {
	id     uint64
	to     keyrange.Owner
	ranges []keyrange.ID
	parts  []Export
	// next is the first part that the successor has not acknowledged.
	next int
	// complete means that the successor has all parts.
	complete bool
	refused  oleandervalve.Reason
	started  time.Time
	// commitBase is the map version on which the commit is conditional; 0 before the
	// commit is sent.
	commitBase oleandervalve.Version
}

// incomingTransfer holds imported records until the map names this agent as owner.
type incomingTransfer struct {
	from     keyrange.Owner
	ranges   map[keyrange.ID]bool
	next     int
	complete bool
	records  []*record
	bytes    int64
}

// BeginTransfer freezes ranges and prepares their records for the successor. The ids
// of an owner's transfers must be nonzero, must increase, and must differ from those
// of other owners. A transfer ends with AbortTransfer, or with ApplyMap when the
// map shows the new owner. After a commit that failed, call CommitTransfer again
// with the newer map or call AbortTransfer.
func (s *RecordStore) BeginTransfer(now time.Time, id uint64, to keyrange.Owner, ranges []keyrange.ID) error {
	transferring := map[keyrange.ID]bool{}
	for _, r := range ranges {
		if state := &s.ranges[r]; !state.active || state.transfer != nil || to == s.self || id == 0 {
			return &oleandervalve.InvalidError{
				Field: "range", Value: strconv.Itoa(int(r)), Remedy: "hand over only ranges that this agent serves and that do not move",
			}
		}
		transferring[r] = true
	}
	t := &outgoingTransfer{id: id, to: to, ranges: ranges, started: now}
	var records []*record
	for _, r := range s.records {
		if transferring[r.key.scope.Range(r.key.text)] {
			records = append(records, r)
		}
	}
	sort.Slice(records, func(i, j int) bool {
		a, b := records[i].key, records[j].key
		if a.text != b.text {
			return a.text < b.text
		}
		return a.scope.Caller < b.scope.Caller || a.scope.Caller == b.scope.Caller && a.scope.Service < b.scope.Service
	})
	part := s.newPart(t)
	size := int64(0)
	for _, r := range records {
		if size > 0 && size+r.size > maxExportBytes {
			t.parts = append(t.parts, part)
			part, size = s.newPart(t), 0
		}
		part.Records = append(part.Records, r.export(now))
		size += r.size
	}
	part.Last = true
	part.Sequence = len(t.parts)
	t.parts = append(t.parts, part)
	for _, r := range ranges {
		s.ranges[r].transfer = t
	}
	s.outgoing[id] = t
	return nil
}

// newPart returns the next part of a transfer, without records.
func (s *RecordStore) newPart(t *outgoingTransfer) Export {
	e := Export{
		Transfer: t.id, FromAgent: s.self.Agent, FromIncarnation: s.self.Incarnation,
		ToAgent: t.to.Agent, ToIncarnation: t.to.Incarnation, Sequence: len(t.parts),
	}
	for _, r := range t.ranges {
		e.Ranges = append(e.Ranges, uint16(r))
	}
	return e
}

// PartsToSend returns the parts to send now. Call it again after each ExportAck,
// and every second to repeat lost messages.
func (s *RecordStore) PartsToSend(id uint64) []Export {
	t := s.outgoing[id]
	if t == nil || t.complete || t.refused != "" {
		return nil
	}
	return t.parts[t.next:min(t.next+exportWindow, len(t.parts))]
}

// HandleExportAck handles the successor's acknowledgement and reports whether the
// successor has all records, so that the transfer may be committed.
func (s *RecordStore) HandleExportAck(ack ExportAck) bool {
	t := s.outgoing[ack.Transfer]
	if t == nil || t.to != (keyrange.Owner{Agent: ack.ToAgent, Incarnation: ack.ToIncarnation}) {
		return false
	}
	t.next = max(t.next, min(ack.Next, len(t.parts)))
	t.complete = t.complete || ack.Complete
	if !t.complete && ack.Refused != "" {
		t.refused = ack.Refused
	}
	return t.complete
}

// RefusalReason returns why the successor refused a transfer, or "" if it did not.
func (s *RecordStore) RefusalReason(id uint64) oleandervalve.Reason {
	if t := s.outgoing[id]; t != nil {
		return t.refused
	}
	return ""
}

// CommitTransfer returns the transaction that ends a complete transfer. After that,
// the transfer can't be aborted until ApplyMap gets a map that is newer than m and
// in which the transfer did not take effect.
func (s *RecordStore) CommitTransfer(id uint64, m keyrange.Map, mutation oleandervalve.MutationID) (oleandervalve.Transaction, error) {
	t := s.outgoing[id]
	if t == nil || !t.complete {
		return oleandervalve.Transaction{}, &oleandervalve.InvalidError{
			Field: "transfer", Value: strconv.FormatUint(id, 10), Remedy: "commit a transfer after the successor has all records",
		}
	}
	tx, err := m.Reassign(mutation, id, t.ranges, s.self, t.to)
	if err == nil {
		t.commitBase = max(t.commitBase, m.Version())
	}
	return tx, err
}

// AbortTransfer ends a transfer that has no commit in doubt and returns the message
// for the successor; it returns false if a commit may still take effect.
func (s *RecordStore) AbortTransfer(id uint64) (Export, bool) {
	t := s.outgoing[id]
	if t == nil || t.commitBase != 0 {
		return Export{}, false
	}
	s.endTransfer(t)
	e := s.newPart(t)
	e.Abort = true
	return e, true
}

// endTransfer removes an outgoing transfer and unfreezes its ranges.
func (s *RecordStore) endTransfer(t *outgoingTransfer) {
	for _, r := range t.ranges {
		if s.ranges[r].transfer == t {
			s.ranges[r].transfer = nil
		}
	}
	delete(s.outgoing, t.id)
}

// HandleExport imports one part of the records that another owner transfers and
// returns the acknowledgement.
func (s *RecordStore) HandleExport(now time.Time, e Export) ExportAck {
	out := ExportAck{
		Transfer: e.Transfer, FromAgent: e.FromAgent, FromIncarnation: e.FromIncarnation,
		ToAgent: s.self.Agent, ToIncarnation: s.self.Incarnation,
	}
	from := keyrange.Owner{Agent: e.FromAgent, Incarnation: e.FromIncarnation}
	in := s.incoming[e.Transfer]
	switch {
	case e.Transfer == 0 || e.ToAgent != s.self.Agent || e.ToIncarnation != s.self.Incarnation || in != nil && in.from != from:
		out.Refused = ReasonOwnerUnreachable
		return out
	case e.Abort:
		s.discardIncoming(e.Transfer)
		return out
	case in == nil && e.Sequence == 0:
		in = &incomingTransfer{from: from, ranges: map[keyrange.ID]bool{}}
		for _, r := range e.Ranges {
			in.ranges[keyrange.ID(r)] = true
		}
		if !s.supersede(in, e.Transfer) {
			out.Refused = ReasonKeyTransferring
			return out
		}
		s.incoming[e.Transfer] = in
	case in == nil:
		return out
	}
	if e.Sequence == in.next && !in.complete {
		records, bytes := importRecords(now, e.Records)
		if s.recordCount()+len(records) > s.limits.MaxRecords || s.usedBytes+bytes > int64(s.limits.MaxBytes) {
			s.discardIncoming(e.Transfer)
			out.Refused = ReasonKeysFull
			return out
		}
		in.records = append(in.records, records...)
		in.bytes += bytes
		s.usedBytes += bytes
		in.next++
		in.complete = e.Last
	}
	out.Next, out.Complete = in.next, in.complete
	return out
}

// recordCount returns the number of records, including those of incoming transfers.
func (s *RecordStore) recordCount() int {
	n := len(s.records)
	for _, in := range s.incoming {
		n += len(in.records)
	}
	return n
}

// supersede discards earlier incoming transfers of the same ranges from the same
// owner, whose abort message was lost. It returns false if in is a late copy: of an
// earlier transfer, or of records that are active here and may have changed since.
func (s *RecordStore) supersede(in *incomingTransfer, id uint64) bool {
	for r := range in.ranges {
		if s.ranges[r].active {
			return false
		}
	}
	var superseded []uint64
	for i, o := range s.incoming {
		for r := range o.ranges {
			if o.from == in.from && in.ranges[r] {
				superseded = append(superseded, i)
				break
			}
		}
	}
	for _, i := range superseded {
		if i > id {
			return false
		}
	}
	for _, i := range superseded {
		s.discardIncoming(i)
	}
	return true
}

func (s *RecordStore) discardIncoming(id uint64) {
	if in := s.incoming[id]; in != nil {
		s.usedBytes -= in.bytes
		delete(s.incoming, id)
	}
}

// ApplyMap applies a newer map. Ranges become active or inactive only by this call.
func (s *RecordStore) ApplyMap(now time.Time, m keyrange.Map) {
	if m.Version() <= s.version {
		return
	}
	s.version = m.Version()
	for _, id := range s.outgoingIDs() {
		t := s.outgoing[id]
		// The commit was conditional on version commitBase, so it can't take effect any more.
		failed := t.commitBase != 0 && m.Version() > t.commitBase
		for _, r := range t.ranges {
			failed = failed && sameAssignment(s.ranges[r].assignment, m.Get(r))
		}
		if failed {
			t.commitBase = 0
		}
	}
	removed := map[keyrange.ID]bool{}
	for i := range s.ranges {
		r, state := keyrange.ID(i), &s.ranges[i]
		if a := m.Get(r); state.active && !sameAssignment(state.assignment, a) {
			removed[r] = true
			if state.transfer != nil {
				s.endTransfer(state.transfer)
			}
			*state = rangeState{}
		}
	}
	s.removeRecords(removed)
	for i := range s.ranges {
		state := &s.ranges[i]
		if a := m.Get(keyrange.ID(i)); !state.active && a.Owner == s.self && s.hasRecords(keyrange.ID(i), a.Transfer) {
			*state = rangeState{assignment: a, active: true}
		}
	}
	for id, in := range s.incoming {
		s.resolveTransfer(id, in, m)
	}
}

// sameAssignment compares the takeover times as instants, because a decoded map may
// hold the same time in another form.
func sameAssignment(a, b keyrange.Assignment) bool {
	return a.Owner == b.Owner && a.Transfer == b.Transfer && a.TakenOverAt.Equal(b.TakenOverAt)
}

// hasRecords reports whether the records of a range that was assigned by the given
// transfer were imported; transfer 0 means that the range has no records to import.
func (s *RecordStore) hasRecords(r keyrange.ID, id uint64) bool {
	if id == 0 {
		return true
	}
	in := s.incoming[id]
	return in != nil && in.complete && in.ranges[r]
}

// resolveTransfer adopts the records of an incoming transfer that took effect, and
// discards those of one that can't take effect any more.
func (s *RecordStore) resolveTransfer(id uint64, in *incomingTransfer, m keyrange.Map) {
	committed, undecided := false, false
	for r := range in.ranges {
		a := m.Get(r)
		committed = committed || a.Transfer == id && a.Owner == s.self
		undecided = undecided || a.Owner == in.from
	}
	if committed && in.complete {
		for _, r := range in.records {
			if s.ranges[r.key.scope.Range(r.key.text)].active {
				s.records[r.key] = r
				s.insertIntoBucket(r)
			} else {
				s.usedBytes -= r.size
			}
		}
		delete(s.incoming, id)
	} else if !undecided {
		s.discardIncoming(id)
	}
}

func (s *RecordStore) outgoingIDs() []uint64 {
	out := make([]uint64, 0, len(s.outgoing))
	for id := range s.outgoing {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// removeRecords removes all records of the given ranges.
func (s *RecordStore) removeRecords(ranges map[keyrange.ID]bool) {
	if len(ranges) == 0 {
		return
	}
	for _, r := range s.records {
		if ranges[r.key.scope.Range(r.key.text)] {
			s.remove(r)
		}
	}
	// Removed records would otherwise stay in memory until Tick processes their buckets.
	for b, old := range s.buckets {
		var keep []*record
		for _, r := range old {
			if r.bucket == b {
				keep = append(keep, r)
			}
		}
		s.buckets[b] = keep
	}
}

// MissingRanges lists the ranges that the map assigns to this agent although it has
// not imported their records. They need a takeover, because they can't admit keys.
func (s *RecordStore) MissingRanges(m keyrange.Map) []keyrange.ID {
	var out []keyrange.ID
	for _, r := range m.Ranges(s.self) {
		if m.Version() == s.version && !s.ranges[r].active {
			out = append(out, r)
		}
	}
	return out
}

// export returns the record as it is sent to the successor. Its expiry is sent as
// the time left, so that it does not depend on the clocks of the two agents.
func (r *record) export(now time.Time) Record {
	e := Record{
		Entry: r.attempt.entry, Request: r.attempt.request, Caller: r.key.scope.Caller, Service: r.key.scope.Service,
		Key: r.key.text, Digest: r.digest, Status: r.status, KeepFor: max(0, r.expiresAt.Sub(now)),
		HTTPStatus: r.httpStatus, Header: r.header, Body: r.body, Kept: r.kept,
	}
	for _, c := range r.closed {
		e.Closed = append(e.Closed, string(c.entry), string(c.request))
	}
	return e
}

// importRecords returns the store's form of transferred records and their total size.
func importRecords(now time.Time, in []Record) ([]*record, int64) {
	var out []*record
	bytes := int64(0)
	for _, e := range in {
		key, err := ParseKey(e.Key)
		if err != nil {
			continue // No owner has admitted a key that can't be parsed.
		}
		r := &record{
			key: recordKey{Scope{e.Caller, e.Service}, e.Key}, timestamp: key.Timestamp, digest: e.Digest,
			attempt: attemptID{e.Entry, e.Request}, status: e.Status, expiresAt: now.Add(e.KeepFor),
			httpStatus: e.HTTPStatus, header: e.Header, body: e.Body, kept: e.Kept,
		}
		for i := 0; i+1 < len(e.Closed); i += 2 {
			r.closed = append(r.closed, attemptID{oleandervalve.EntryID(e.Closed[i]), oleandervalve.RequestID(e.Closed[i+1])})
		}
		r.updateSize()
		out = append(out, r)
		bytes += r.size
	}
	return out, bytes
}
