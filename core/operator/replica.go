package operator

import (
	"fmt"
	"maps"
	"slices"

	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
)

// maxDeleted bounds the remembered deletions; at the design size's 1,400
// changes a day they cover more than two days.
const maxDeleted = 4096

// GapError reports that changes are missing between a replica and a delta.
type GapError struct {
	Revision oleandervalve.Revision
	// Full means that only the whole configuration closes the gap.
	Full   bool
	Detail string
}

func (e *GapError) Error() string {
	return fmt.Sprintf("configuration at revision %d has a gap (%s): ask the sender for a resync", e.Revision, e.Detail)
}

// Resync returns the message that closes the gap.
func (e *GapError) Resync() Resync { return Resync{From: e.Revision, Full: e.Full} }

// held is one object in force with what is derived from it.
type held struct {
	object Object
	// spec is nil if this release can't read the object.
	spec     Spec
	selector labels.Selector
	digest   uint64
	size     int
}

func newHeld(o Object) *held {
	h := &held{object: o, digest: o.digest(), size: encodedSize(o)}
	if _, s, err := Validate(o); err == nil {
		h.spec, h.selector = s, parsed(s)
	}
	return h
}

type deletion struct {
	ref      Ref
	revision oleandervalve.Revision
}

// Replica is the configuration that one process has in force. It is not safe
// for concurrent use.
type Replica struct {
	objects map[Ref]*held
	// order holds the references of all objects in order, for deterministic iteration.
	order    []Ref
	revision oleandervalve.Revision
	digest   uint64
	loaded   bool
	deleted  []deletion
	// horizon is the lowest revision from which deletions are remembered.
	horizon oleandervalve.Revision
	staged  []Delta
	tokens  []heldToken
	floor   floor
	stale   int
	unread  int
	packer  packer
}

// NewReplica returns an empty replica that is not ready to serve.
func NewReplica() *Replica {
	return &Replica{objects: map[Ref]*held{}, floor: newFloor()}
}

// Revision returns the revision in force; it never goes back.
func (r *Replica) Revision() oleandervalve.Revision { return r.revision }

// Digest returns the digest of all objects in force.
func (r *Replica) Digest() uint64 { return r.digest }

// Ack returns the message that reports what is in force.
func (r *Replica) Ack() Ack { return Ack{Revision: r.revision, Digest: r.digest} }

// Len returns the number of objects in force.
func (r *Replica) Len() int { return len(r.order) }

// Stale returns how many repeated or outdated deltas were ignored.
func (r *Replica) Stale() int { return r.stale }

// Unreadable returns how many objects in force this release can't read.
func (r *Replica) Unreadable() int { return r.unread }

// Get returns an object in force.
func (r *Replica) Get(ref Ref) (Object, bool) {
	h := r.objects[ref]
	if h == nil {
		return Object{}, false
	}
	return h.object, true
}

// List returns the objects of a kind, or of all kinds for an empty kind, in order.
func (r *Replica) List(k Kind) []Object {
	var out []Object
	for _, ref := range r.order {
		if k == "" || ref.Kind == k {
			out = append(out, r.objects[ref].object)
		}
	}
	return out
}

// ApplyRecord applies the next log row. A row that was applied before is
// ignored; a missing one is a *GapError.
func (r *Replica) ApplyRecord(rec Record) error {
	switch {
	case rec.Result != ResultAccepted:
		return nil
	case r.loaded && rec.Revision <= r.revision:
		r.stale++
		return nil
	case rec.Revision != r.revision+1:
		return &GapError{Revision: r.revision, Detail: fmt.Sprintf("next log row has revision %d", rec.Revision)}
	}
	var old uint64
	if h := r.objects[rec.Ref()]; h != nil {
		old = h.digest
	}
	var added uint64
	var after *held
	if rec.After != nil {
		after = newHeld(*rec.After)
		added = after.digest
	}
	if r.digest^old^added != rec.Digest {
		return &GapError{Revision: r.revision, Full: true, Detail: "digest differs"}
	}
	r.put(rec.Ref(), after, rec.Revision)
	r.advance(rec.Revision)
	return nil
}

// Load replaces the configuration by the result of a scan. Pages of a scan are
// read at different times, so the log rows between the head before and the head
// after the scan are applied over it; the digest of the later head decides.
func (r *Replica) Load(objects []Object, records []Record, head Head) error {
	if r.loaded && head.Revision <= r.revision {
		r.stale++
		return nil
	}
	next := map[Ref]*held{}
	for _, o := range objects {
		next[o.Ref()] = newHeld(o)
	}
	for _, rec := range records {
		if rec.After == nil {
			delete(next, rec.Ref())
		} else {
			next[rec.Ref()] = newHeld(*rec.After)
		}
	}
	var digest uint64
	for _, h := range next {
		digest ^= h.digest
	}
	if digest != head.Digest || len(next) != head.Objects {
		return &GapError{Revision: r.revision, Full: true, Detail: "digest of the scan differs"}
	}
	r.replace(next, head.Revision)
	return nil
}

// Apply applies one part of a delta from an entry. It reports whether a new
// revision is in force. Outdated and repeated deltas are ignored; a *GapError
// asks for a resync.
func (r *Replica) Apply(d Delta) (bool, error) {
	if r.loaded && (d.To < r.revision || d.To == r.revision && (!d.Full || d.Digest == r.digest)) {
		r.stale++
		return false, nil
	}
	if !d.Full && (d.From > r.revision || !r.loaded) {
		return false, &GapError{Revision: r.revision, Full: !r.loaded, Detail: fmt.Sprintf("delta starts at revision %d", d.From)}
	}
	if d.Part == 0 {
		r.staged = nil
	}
	if d.Part != len(r.staged) || d.Part > 0 && !sameTransfer(d, r.staged[0]) {
		if d.Part < len(r.staged) && sameTransfer(d, r.staged[0]) {
			r.stale++
			return false, nil
		}
		return false, &GapError{Revision: r.revision, Full: !r.loaded, Detail: fmt.Sprintf("part %d of %d is out of order", d.Part, d.Parts)}
	}
	r.staged = append(r.staged, d)
	if len(r.staged) < d.Parts {
		return false, nil
	}
	parts := r.staged
	r.staged = nil
	return r.commit(parts)
}

func sameTransfer(a, b Delta) bool {
	return a.From == b.From && a.To == b.To && a.Full == b.Full && a.Parts == b.Parts && a.Digest == b.Digest
}

// commit puts all parts in force if the digest agrees, and nothing otherwise.
func (r *Replica) commit(parts []Delta) (bool, error) {
	next := map[Ref]*held{}
	if !parts[0].Full {
		next = maps.Clone(r.objects)
	}
	to, before := parts[0].To, r.revision
	for _, p := range parts {
		for _, ref := range p.Removed {
			delete(next, ref)
		}
		for _, o := range p.Objects {
			next[o.Ref()] = newHeld(o)
		}
	}
	var digest uint64
	for _, h := range next {
		digest ^= h.digest
	}
	if digest != parts[0].Digest {
		return false, &GapError{Revision: r.revision, Full: true, Detail: "digest differs"}
	}
	r.replace(next, to)
	return to > before, nil
}

// replace puts a whole configuration in force.
func (r *Replica) replace(next map[Ref]*held, to oleandervalve.Revision) {
	refs := make([]Ref, 0, len(next))
	for ref := range next {
		refs = append(refs, ref)
	}
	sortRefs(refs)
	for _, ref := range slices.Clone(r.order) {
		if _, ok := next[ref]; !ok {
			r.put(ref, nil, to)
		}
	}
	for _, ref := range refs {
		if h := r.objects[ref]; h == nil || h.digest != next[ref].digest {
			r.put(ref, next[ref], to)
		}
	}
	// An object that was created and deleted inside the replaced span is unknown
	// here. A receiver that has it finds another digest and asks for a full delta.
	if !r.loaded {
		r.horizon = to
	}
	r.advance(to)
}

func (r *Replica) put(ref Ref, h *held, at oleandervalve.Revision) {
	i, found := slices.BinarySearchFunc(r.order, ref, Ref.Compare)
	if found {
		old := r.objects[ref]
		r.digest ^= old.digest
		if old.spec == nil {
			r.unread--
		}
	}
	switch {
	case h == nil && found:
		delete(r.objects, ref)
		r.order = slices.Delete(r.order, i, i+1)
		r.forget(ref, at)
	case h != nil:
		if h.spec == nil {
			r.unread++
		}
		r.objects[ref] = h
		r.digest ^= h.digest
		if !found {
			r.order = slices.Insert(r.order, i, ref)
		}
	}
	if ref.Kind == KindToken {
		r.indexTokens()
	}
}

func (r *Replica) forget(ref Ref, at oleandervalve.Revision) {
	r.deleted = append(r.deleted, deletion{ref, at})
	if n := len(r.deleted) - maxDeleted; n > 0 {
		r.horizon = r.deleted[n-1].revision
		r.deleted = slices.Delete(r.deleted, 0, n)
	}
}

func (r *Replica) advance(to oleandervalve.Revision) {
	r.revision = max(r.revision, to)
	r.loaded = true
	r.floor.reached(r.revision)
}
