package operator

import (
	"fmt"
	"maps"
	"slices"

	"k8s.io/apimachinery/pkg/labels"

	"oleandervalve"
)

// maxRetainedDeletions limits the number of deletions kept for deltas. At 1,400
// changes a day, the load the system is designed for, it covers more than two days.
const maxRetainedDeletions = 4096

// GapError reports that a delta or log row can't be applied to a replica because
// changes in between are missing or the digest differs.
type GapError struct {
	Revision oleandervalve.Revision
	// Full reports that only a full snapshot closes the gap.
	Full   bool
	Detail string
}

func (e *GapError) Error() string {
	return fmt.Sprintf("configuration at revision %d has a gap (%s): ask the sender for a resync", e.Revision, e.Detail)
}

// Resync returns the request for the missing changes.
func (e *GapError) Resync() Resync { return Resync{From: e.Revision, Full: e.Full} }

// indexedObject is an object of a replica together with values derived from it.
type indexedObject struct {
	object Object
	// spec is nil if this release can't parse the object.
	spec     Spec
	selector labels.Selector
	digest   uint64
	size     int
}

func newIndexedObject(o Object) *indexedObject {
	obj := &indexedObject{object: o, digest: o.digest(), size: encodedSize(o)}
	if _, s, err := Validate(o); err == nil {
		obj.spec, obj.selector = s, selectorOf(s)
	}
	return obj
}

// deletion records the revision at which an object was removed.
type deletion struct {
	ref      Ref
	revision oleandervalve.Revision
}

// Replica is one process's copy of the active configuration. It is not safe for
// concurrent use.
type Replica struct {
	objects map[Ref]*indexedObject
	// sortedRefs holds the references of all objects, for deterministic iteration.
	sortedRefs []Ref
	revision   oleandervalve.Revision
	digest     uint64
	loaded     bool
	deletions  []deletion
	// compactedRevision is the oldest revision from which a delta can be built;
	// earlier deletions are no longer retained.
	compactedRevision oleandervalve.Revision
	// stagedParts holds the parts received so far of a delta with several parts.
	stagedParts       []Delta
	tokens            []indexedToken
	readiness         readinessGate
	ignoredUpdates    int
	unreadableObjects int // objects that this release can't parse
	compressor        compressor
}

// NewReplica returns an empty replica that is not ready.
func NewReplica() *Replica {
	return &Replica{objects: map[Ref]*indexedObject{}, readiness: newReadinessGate()}
}

// Revision returns the revision of the replica; it never decreases.
func (r *Replica) Revision() oleandervalve.Revision { return r.revision }

// Digest returns the digest of all objects.
func (r *Replica) Digest() uint64 { return r.digest }

// Ack returns the acknowledgement of the current revision.
func (r *Replica) Ack() Ack { return Ack{Revision: r.revision, Digest: r.digest} }

// Len returns the number of objects.
func (r *Replica) Len() int { return len(r.sortedRefs) }

// IgnoredUpdates returns how many repeated or outdated deltas, log rows and scans
// were ignored.
func (r *Replica) IgnoredUpdates() int { return r.ignoredUpdates }

// Unreadable returns how many objects this release can't parse.
func (r *Replica) Unreadable() int { return r.unreadableObjects }

// Get returns an object.
func (r *Replica) Get(ref Ref) (Object, bool) {
	obj := r.objects[ref]
	if obj == nil {
		return Object{}, false
	}
	return obj.object, true
}

// List returns the objects of a kind, or of all kinds for an empty kind, in the
// order of their references.
func (r *Replica) List(k Kind) []Object {
	var out []Object
	for _, ref := range r.sortedRefs {
		if k == "" || ref.Kind == k {
			out = append(out, r.objects[ref].object)
		}
	}
	return out
}

// ApplyRecord applies the next log row. It ignores a row that has already been
// applied and returns a *GapError if a row is missing.
func (r *Replica) ApplyRecord(rec Record) error {
	switch {
	case rec.Result != ResultAccepted:
		return nil
	case r.loaded && rec.Revision <= r.revision:
		r.ignoredUpdates++
		return nil
	case rec.Revision != r.revision+1:
		return &GapError{Revision: r.revision, Detail: fmt.Sprintf("next log row has revision %d", rec.Revision)}
	}
	var removedDigest uint64
	if obj := r.objects[rec.Ref()]; obj != nil {
		removedDigest = obj.digest
	}
	var addedDigest uint64
	var after *indexedObject
	if rec.After != nil {
		after = newIndexedObject(*rec.After)
		addedDigest = after.digest
	}
	if r.digest^removedDigest^addedDigest != rec.Digest {
		return &GapError{Revision: r.revision, Full: true, Detail: "digest differs"}
	}
	r.setObject(rec.Ref(), after, rec.Revision)
	r.advance(rec.Revision)
	return nil
}

// Load replaces the configuration with the result of a scan. Because the pages of
// a scan are read at different times, the log rows between the heads before and
// after the scan are applied on top of it. The result is accepted only if it
// matches the digest of the later head.
func (r *Replica) Load(objects []Object, records []Record, head Head) error {
	if r.loaded && head.Revision <= r.revision {
		r.ignoredUpdates++
		return nil
	}
	next := map[Ref]*indexedObject{}
	for _, o := range objects {
		next[o.Ref()] = newIndexedObject(o)
	}
	for _, rec := range records {
		if rec.After == nil {
			delete(next, rec.Ref())
		} else {
			next[rec.Ref()] = newIndexedObject(*rec.After)
		}
	}
	var digest uint64
	for _, obj := range next {
		digest ^= obj.digest
	}
	if digest != head.Digest || len(next) != head.Objects {
		return &GapError{Revision: r.revision, Full: true, Detail: "digest of the scan differs"}
	}
	r.replaceAll(next, head.Revision)
	return nil
}

// Apply applies one part of a delta from an entry. It reports whether the
// revision has increased. Outdated and repeated deltas are ignored. After a
// *GapError, the caller must request a resync.
func (r *Replica) Apply(d Delta) (bool, error) {
	if r.loaded && (d.To < r.revision || d.To == r.revision && (!d.Full || d.Digest == r.digest)) {
		r.ignoredUpdates++
		return false, nil
	}
	if !d.Full && (d.From > r.revision || !r.loaded) {
		return false, &GapError{Revision: r.revision, Full: !r.loaded, Detail: fmt.Sprintf("delta starts at revision %d", d.From)}
	}
	if d.Part == 0 {
		r.stagedParts = nil
	}
	if d.Part != len(r.stagedParts) || d.Part > 0 && !sameDelta(d, r.stagedParts[0]) {
		if d.Part < len(r.stagedParts) && sameDelta(d, r.stagedParts[0]) {
			r.ignoredUpdates++
			return false, nil
		}
		return false, &GapError{Revision: r.revision, Full: !r.loaded, Detail: fmt.Sprintf("part %d of %d is out of order", d.Part, d.Parts)}
	}
	r.stagedParts = append(r.stagedParts, d)
	if len(r.stagedParts) < d.Parts {
		return false, nil
	}
	parts := r.stagedParts
	r.stagedParts = nil
	return r.commit(parts)
}

// sameDelta reports whether two parts belong to the same delta.
func sameDelta(a, b Delta) bool {
	return a.From == b.From && a.To == b.To && a.Full == b.Full && a.Parts == b.Parts && a.Digest == b.Digest
}

// commit applies all parts of a delta if the digest matches, and none otherwise.
func (r *Replica) commit(parts []Delta) (bool, error) {
	next := map[Ref]*indexedObject{}
	if !parts[0].Full {
		next = maps.Clone(r.objects)
	}
	to, before := parts[0].To, r.revision
	for _, p := range parts {
		for _, ref := range p.Removed {
			delete(next, ref)
		}
		for _, o := range p.Objects {
			next[o.Ref()] = newIndexedObject(o)
		}
	}
	var digest uint64
	for _, obj := range next {
		digest ^= obj.digest
	}
	if digest != parts[0].Digest {
		return false, &GapError{Revision: r.revision, Full: true, Detail: "digest differs"}
	}
	r.replaceAll(next, to)
	return to > before, nil
}

// replaceAll replaces all objects of the replica.
func (r *Replica) replaceAll(next map[Ref]*indexedObject, to oleandervalve.Revision) {
	refs := make([]Ref, 0, len(next))
	for ref := range next {
		refs = append(refs, ref)
	}
	sortRefs(refs)
	for _, ref := range slices.Clone(r.sortedRefs) {
		if _, ok := next[ref]; !ok {
			r.setObject(ref, nil, to)
		}
	}
	for _, ref := range refs {
		if obj := r.objects[ref]; obj == nil || obj.digest != next[ref].digest {
			r.setObject(ref, next[ref], to)
		}
	}
	// An object created and deleted between the two revisions is unknown to this
	// replica. A receiver that has it detects the digest mismatch and requests a
	// full delta.
	if !r.loaded {
		r.compactedRevision = to
	}
	r.advance(to)
}

// setObject replaces an object or, if obj is nil, removes it.
func (r *Replica) setObject(ref Ref, obj *indexedObject, at oleandervalve.Revision) {
	i, found := slices.BinarySearchFunc(r.sortedRefs, ref, Ref.Compare)
	if found {
		old := r.objects[ref]
		r.digest ^= old.digest
		if old.spec == nil {
			r.unreadableObjects--
		}
	}
	switch {
	case obj == nil && found:
		delete(r.objects, ref)
		r.sortedRefs = slices.Delete(r.sortedRefs, i, i+1)
		r.recordDeletion(ref, at)
	case obj != nil:
		if obj.spec == nil {
			r.unreadableObjects++
		}
		r.objects[ref] = obj
		r.digest ^= obj.digest
		if !found {
			r.sortedRefs = slices.Insert(r.sortedRefs, i, ref)
		}
	}
	if ref.Kind == KindToken {
		r.indexTokens()
	}
}

// recordDeletion retains a deletion for deltas and discards the oldest ones beyond
// the limit.
func (r *Replica) recordDeletion(ref Ref, at oleandervalve.Revision) {
	r.deletions = append(r.deletions, deletion{ref, at})
	if n := len(r.deletions) - maxRetainedDeletions; n > 0 {
		r.compactedRevision = r.deletions[n-1].revision
		r.deletions = slices.Delete(r.deletions, 0, n)
	}
}

// advance raises the revision and updates the readiness.
func (r *Replica) advance(to oleandervalve.Revision) {
	r.revision = max(r.revision, to)
	r.loaded = true
	r.readiness.update(r.revision)
}
