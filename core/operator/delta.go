package operator

import (
	"sort"

	"oleandervalve"
)

// Delta updates an agent's view of the configuration from one revision to
// another. A delta that exceeds the size of one message is split into parts,
// which the receiver applies atomically.
type Delta struct {
	From oleandervalve.Revision
	To   oleandervalve.Revision
	// Full reports that the delta is a snapshot that replaces all objects of the receiver.
	Full bool
	// Part counts from 0 to Parts-1.
	Part    int
	Parts   int
	Objects []Object
	Removed []Ref
	// Digest is the digest of the receiver's whole view at revision To.
	Digest uint64

	encoded []byte
}

// Ack acknowledges deltas: it reports the revision and digest of the receiver's
// active configuration.
type Ack struct {
	Revision oleandervalve.Revision `cbor:"revision"`
	Digest   uint64                 `cbor:"digest"`
}

// Resync requests an entry to send deltas starting at a revision, or a full snapshot.
type Resync struct {
	From oleandervalve.Revision `cbor:"from"`
	Full bool                   `cbor:"full,omitempty"`
	// Stop ends the subscription, because the agent now subscribes to another entry.
	Stop bool `cbor:"stop,omitempty"`
}

// View selects the part of the configuration that one process needs.
type View struct {
	// All selects all objects, which entries need.
	All bool
	// WorkerLabels holds the labels that an agent announced for its worker. They
	// are fixed for a connection, so KindWorkerLabels objects are filtered by them.
	WorkerLabels map[string]string
}

// includes reports whether the view contains an object. KindEndpointLabels and
// KindPolicy objects are not filtered by labels, because endpoints can join an
// agent at any time and would need an object that had been filtered out.
func (v View) includes(obj *indexedObject) bool {
	if v.All {
		return true
	}
	switch obj.object.Kind {
	case KindService, KindPolicy, KindEndpointLabels:
		return true
	case KindWorkerLabels:
		return obj.selects(v.WorkerLabels)
	}
	return false
}

// MaxPartBytes limits the uncompressed objects in one part of a delta, unless
// one object alone is larger.
const MaxPartBytes = 4 << 10

// encodedSize returns the size of a value before compression.
func encodedSize(v any) int {
	return len(mustCBOR(v))
}

// Delta returns the parts of the delta that updates a view from a revision to
// the replica's revision. The delta is full if deletions since that revision
// are no longer retained.
func (r *Replica) Delta(v View, from oleandervalve.Revision, full bool) []Delta {
	full = full || from < r.compactedRevision || from > r.revision
	header := Delta{From: from, To: r.revision, Full: full}
	if full {
		header.From = 0
	}
	var changed []*indexedObject
	for _, ref := range r.sortedRefs {
		if !v.All && !isAgentKind(ref.Kind) {
			continue
		}
		obj := r.objects[ref]
		if !v.includes(obj) {
			// The object may have been in the view before its last change.
			if !full && oleandervalve.Revision(obj.object.Version) > from {
				header.Removed = append(header.Removed, ref)
			}
			continue
		}
		header.Digest ^= obj.digest
		if full || oleandervalve.Revision(obj.object.Version) > from {
			changed = append(changed, obj)
		}
	}
	if !full {
		for _, d := range r.deletions {
			if d.revision > from && r.objects[d.ref] == nil && (v.All || isAgentKind(d.ref.Kind)) {
				header.Removed = append(header.Removed, d.ref)
			}
		}
	}
	return r.compressor.split(header, changed)
}

// viewDigest returns the digest of all objects in a view.
func (r *Replica) viewDigest(v View) uint64 {
	var d uint64
	for _, ref := range r.sortedRefs {
		if v.All || isAgentKind(ref.Kind) {
			if obj := r.objects[ref]; v.includes(obj) {
				d ^= obj.digest
			}
		}
	}
	return d
}

// isAgentKind reports whether agents need objects of a kind. Tokens, teams
// and job defaults are used by entries only.
func isAgentKind(k Kind) bool {
	return k == KindService || k == KindPolicy || k == KindEndpointLabels || k == KindWorkerLabels
}

// split divides a delta into parts of bounded size; removals come first.
func (c *compressor) split(header Delta, changed []*indexedObject) []Delta {
	removed := header.Removed
	header.Removed = nil
	part, size := header, 0
	var out []Delta
	reserve := func(bytes int) {
		if size+bytes > MaxPartBytes && size > 0 {
			out = append(out, part)
			part, size = header, 0
		}
		size += bytes
	}
	for _, r := range removed {
		reserve(encodedSize(r))
		part.Removed = append(part.Removed, r)
	}
	for _, obj := range changed {
		reserve(obj.size)
		part.Objects = append(part.Objects, obj.object)
	}
	out = append(out, part)
	for i := range out {
		out[i].Part, out[i].Parts = i, len(out)
		out[i].encoded = out[i].encode(c)
	}
	return out
}

func sortRefs(refs []Ref) {
	sort.Slice(refs, func(i, j int) bool { return refs[i].Compare(refs[j]) < 0 })
}
