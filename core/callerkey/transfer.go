package callerkey

import (
	"sort"
	"strconv"
	"time"

	"oleandervalve"
	"oleandervalve/core/keyrange"
)

const (
	// moveRetry is how soon an entry asks again while a range moves.
	moveRetry = 50 * time.Millisecond
	// exportBytes leaves room in a frame of 64 KiB for one more record with the largest answer.
	exportBytes = 32 << 10
	// exportWindow is the number of parts in flight.
	exportWindow = 8
)

// transfer is a planned move of ranges to another home. The ranges admit no
// fresh keys until the map shows how the move ended.
type transfer struct {
	id       uint64
	to       keyrange.Owner
	ranges   []keyrange.ID
	parts    []Export
	next     int
	complete bool
	refused  oleandervalve.Reason
	started  time.Time
	// base is the version of the map that the commit started from; 0 before the commit is sent.
	base oleandervalve.Version
}

// intake holds imported records until the map names this home.
type intake struct {
	from     keyrange.Owner
	ranges   map[keyrange.ID]bool
	next     int
	complete bool
	records  []*record
	bytes    int64
}

// HandOver freezes ranges and prepares their records for the successor. The ids
// of a home's transfers are not 0, grow, and differ from those of other homes. A
// transfer ends with Abort, or with ApplyMap when the map shows the move; after a
// commit that failed, Commit it again on the newer map or Abort it.
func (h *Home) HandOver(now time.Time, id uint64, to keyrange.Owner, ranges []keyrange.ID) error {
	moving := map[keyrange.ID]bool{}
	for _, r := range ranges {
		if g := &h.ranges[r]; !g.serving || g.transfer != nil || to == h.self || id == 0 {
			return &oleandervalve.InvalidError{
				Field: "range", Value: strconv.Itoa(int(r)), Remedy: "hand over only ranges that this agent serves and that do not move",
			}
		}
		moving[r] = true
	}
	t := &transfer{id: id, to: to, ranges: ranges, started: now}
	var all []*record
	for _, r := range h.records {
		if moving[r.key.scope.Range(r.key.text)] {
			all = append(all, r)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].key, all[j].key
		if a.text != b.text {
			return a.text < b.text
		}
		return a.scope.Caller < b.scope.Caller || a.scope.Caller == b.scope.Caller && a.scope.Service < b.scope.Service
	})
	part := h.part(t)
	size := int64(0)
	for _, r := range all {
		if size > 0 && size+r.size > exportBytes {
			t.parts = append(t.parts, part)
			part, size = h.part(t), 0
		}
		part.Records = append(part.Records, r.export(now))
		size += r.size
	}
	part.Last = true
	part.Sequence = len(t.parts)
	t.parts = append(t.parts, part)
	for _, r := range ranges {
		h.ranges[r].transfer = t
	}
	h.outgoing[id] = t
	return nil
}

func (h *Home) part(t *transfer) Export {
	e := Export{
		Transfer: t.id, FromAgent: h.self.Agent, FromIncarnation: h.self.Incarnation,
		ToAgent: t.to.Agent, ToIncarnation: t.to.Incarnation, Sequence: len(t.parts),
	}
	for _, r := range t.ranges {
		e.Ranges = append(e.Ranges, uint16(r))
	}
	return e
}

// Outgoing returns the parts to send now; call it again after each Import and,
// for lost messages, every second.
func (h *Home) Outgoing(id uint64) []Export {
	t := h.outgoing[id]
	if t == nil || t.complete || t.refused != "" {
		return nil
	}
	return t.parts[t.next:min(t.next+exportWindow, len(t.parts))]
}

// Imported takes the successor's acknowledgement and reports whether the move may be committed.
func (h *Home) Imported(i Import) bool {
	t := h.outgoing[i.Transfer]
	if t == nil || t.to != (keyrange.Owner{Agent: i.ToAgent, Incarnation: i.ToIncarnation}) {
		return false
	}
	t.next = max(t.next, min(i.Next, len(t.parts)))
	t.complete = t.complete || i.Complete
	if !t.complete && i.Refused != "" {
		t.refused = i.Refused
	}
	return t.complete
}

// Refused returns why the successor refused a transfer; empty if it did not.
func (h *Home) Refused(id uint64) oleandervalve.Reason {
	if t := h.outgoing[id]; t != nil {
		return t.refused
	}
	return ""
}

// Commit returns the transaction that ends a complete transfer. From then on it
// can't be aborted until ApplyMap shows a map newer than the one given here.
func (h *Home) Commit(id uint64, m keyrange.Map, mutation oleandervalve.MutationID) (oleandervalve.Transaction, error) {
	t := h.outgoing[id]
	if t == nil || !t.complete {
		return oleandervalve.Transaction{}, &oleandervalve.InvalidError{
			Field: "transfer", Value: strconv.FormatUint(id, 10), Remedy: "commit a transfer after the successor has all records",
		}
	}
	tx, err := m.Reassign(mutation, id, t.ranges, h.self, t.to)
	if err == nil {
		t.base = max(t.base, m.Version())
	}
	return tx, err
}

// Abort ends a transfer whose commit was never sent and returns the message
// for the successor; it returns false if the commit may take effect.
func (h *Home) Abort(id uint64) (Export, bool) {
	t := h.outgoing[id]
	if t == nil || t.base != 0 {
		return Export{}, false
	}
	h.endTransfer(t)
	e := h.part(t)
	e.Abort = true
	return e, true
}

func (h *Home) endTransfer(t *transfer) {
	for _, r := range t.ranges {
		if h.ranges[r].transfer == t {
			h.ranges[r].transfer = nil
		}
	}
	delete(h.outgoing, t.id)
}

// Import takes one part of another home's records.
func (h *Home) Import(now time.Time, e Export) Import {
	out := Import{
		Transfer: e.Transfer, FromAgent: e.FromAgent, FromIncarnation: e.FromIncarnation,
		ToAgent: h.self.Agent, ToIncarnation: h.self.Incarnation,
	}
	from := keyrange.Owner{Agent: e.FromAgent, Incarnation: e.FromIncarnation}
	in := h.incoming[e.Transfer]
	switch {
	case e.Transfer == 0 || e.ToAgent != h.self.Agent || e.ToIncarnation != h.self.Incarnation || in != nil && in.from != from:
		out.Refused = ReasonKeyHome
		return out
	case e.Abort:
		h.discard(e.Transfer)
		return out
	case in == nil && e.Sequence == 0:
		in = &intake{from: from, ranges: map[keyrange.ID]bool{}}
		for _, r := range e.Ranges {
			in.ranges[keyrange.ID(r)] = true
		}
		if !h.replace(in, e.Transfer) {
			out.Refused = ReasonKeyMoving
			return out
		}
		h.incoming[e.Transfer] = in
	case in == nil:
		return out
	}
	if e.Sequence == in.next && !in.complete {
		records, bytes := importRecords(now, e.Records)
		if h.count()+len(records) > h.limits.MaxRecords || h.bytes+bytes > int64(h.limits.MaxBytes) {
			h.discard(e.Transfer)
			out.Refused = ReasonKeysFull
			return out
		}
		in.records = append(in.records, records...)
		in.bytes += bytes
		h.bytes += bytes
		in.next++
		in.complete = e.Last
	}
	out.Next, out.Complete = in.next, in.complete
	return out
}

func (h *Home) count() int {
	n := len(h.records)
	for _, in := range h.incoming {
		n += len(in.records)
	}
	return n
}

// replace discards earlier intakes of the same ranges from the same home, whose
// withdrawal was lost. It returns false for a late copy: of an earlier transfer,
// or of records that are in use here and may have changed since.
func (h *Home) replace(in *intake, id uint64) bool {
	for r := range in.ranges {
		if h.ranges[r].serving {
			return false
		}
	}
	var old []uint64
	for i, o := range h.incoming {
		for r := range o.ranges {
			if o.from == in.from && in.ranges[r] {
				old = append(old, i)
				break
			}
		}
	}
	for _, i := range old {
		if i > id {
			return false
		}
	}
	for _, i := range old {
		h.discard(i)
	}
	return true
}

func (h *Home) discard(id uint64) {
	if in := h.incoming[id]; in != nil {
		h.bytes -= in.bytes
		delete(h.incoming, id)
	}
}

// ApplyMap takes a newer map: the home starts and stops serving ranges by it alone.
func (h *Home) ApplyMap(now time.Time, m keyrange.Map) {
	if m.Version() <= h.version {
		return
	}
	h.version = m.Version()
	for _, id := range h.transfers() {
		t := h.outgoing[id]
		// The commit was conditional on version base, so it can't take effect any more.
		stays := t.base != 0 && m.Version() > t.base
		for _, r := range t.ranges {
			stays = stays && same(h.ranges[r].assignment, m.Get(r))
		}
		if stays {
			t.base = 0
		}
	}
	ended := map[keyrange.ID]bool{}
	for i := range h.ranges {
		r, g := keyrange.ID(i), &h.ranges[i]
		if a := m.Get(r); g.serving && !same(g.assignment, a) {
			ended[r] = true
			if g.transfer != nil {
				h.endTransfer(g.transfer)
			}
			*g = rangeState{}
		}
	}
	h.dropRanges(ended)
	for i := range h.ranges {
		g := &h.ranges[i]
		if a := m.Get(keyrange.ID(i)); !g.serving && a.Owner == h.self && h.hasRecords(keyrange.ID(i), a.Transfer) {
			*g = rangeState{assignment: a, serving: true}
		}
	}
	for id, in := range h.incoming {
		h.settle(id, in, m)
	}
}

func same(a, b keyrange.Assignment) bool {
	return a.Owner == b.Owner && a.Transfer == b.Transfer && a.TakenOverAt.Equal(b.TakenOverAt)
}

// hasRecords reports whether the records that a planned move promises are here.
func (h *Home) hasRecords(r keyrange.ID, id uint64) bool {
	if id == 0 {
		return true
	}
	in := h.incoming[id]
	return in != nil && in.complete && in.ranges[r]
}

// settle adopts the records of a move that took effect, or discards those of one that can't any more.
func (h *Home) settle(id uint64, in *intake, m keyrange.Map) {
	taken, open := false, false
	for r := range in.ranges {
		a := m.Get(r)
		taken = taken || a.Transfer == id && a.Owner == h.self
		open = open || a.Owner == in.from
	}
	if taken && in.complete {
		for _, r := range in.records {
			if h.ranges[r.key.scope.Range(r.key.text)].serving {
				h.records[r.key] = r
				h.insert(r)
			} else {
				h.bytes -= r.size
			}
		}
		delete(h.incoming, id)
	} else if !open {
		h.discard(id)
	}
}

func (h *Home) transfers() []uint64 {
	out := make([]uint64, 0, len(h.outgoing))
	for id := range h.outgoing {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (h *Home) dropRanges(ended map[keyrange.ID]bool) {
	if len(ended) == 0 {
		return
	}
	for _, r := range h.records {
		if ended[r.key.scope.Range(r.key.text)] {
			h.drop(r)
		}
	}
	// Dropped records would otherwise stay in memory until their buckets are swept.
	for b, old := range h.buckets {
		var keep []*record
		for _, r := range old {
			if r.bucket == b {
				keep = append(keep, r)
			}
		}
		h.buckets[b] = keep
	}
}

// Lacking lists the ranges that the map gives to this home without their
// records; they need a takeover, because nothing can be admitted in them.
func (h *Home) Lacking(m keyrange.Map) []keyrange.ID {
	var out []keyrange.ID
	for _, r := range m.Ranges(h.self) {
		if m.Version() == h.version && !h.ranges[r].serving {
			out = append(out, r)
		}
	}
	return out
}

func (r *record) export(now time.Time) Record {
	e := Record{
		Entry: r.attempt.entry, Request: r.attempt.request, Caller: r.key.scope.Caller, Service: r.key.scope.Service,
		Key: r.key.text, Digest: r.digest, Status: r.status, KeepFor: max(0, r.due.Sub(now)),
		HTTPStatus: r.httpStatus, Header: r.header, Body: r.body, Kept: r.kept,
	}
	for _, c := range r.closed {
		e.Closed = append(e.Closed, string(c.entry), string(c.request))
	}
	return e
}

func importRecords(now time.Time, in []Record) ([]*record, int64) {
	var out []*record
	bytes := int64(0)
	for _, e := range in {
		key, err := ParseKey(e.Key)
		if err != nil {
			continue // No home has admitted a key that can't be parsed.
		}
		r := &record{
			key: recordKey{Scope{e.Caller, e.Service}, e.Key}, at: key.At, digest: e.Digest,
			attempt: attemptID{e.Entry, e.Request}, status: e.Status, due: now.Add(e.KeepFor),
			httpStatus: e.HTTPStatus, header: e.Header, body: e.Body, kept: e.Kept,
		}
		for i := 0; i+1 < len(e.Closed); i += 2 {
			r.closed = append(r.closed, attemptID{oleandervalve.EntryID(e.Closed[i]), oleandervalve.RequestID(e.Closed[i+1])})
		}
		r.measure()
		out = append(out, r)
		bytes += r.size
	}
	return out, bytes
}
