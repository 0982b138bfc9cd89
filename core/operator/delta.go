package operator

import (
	"sort"

	"oleandervalve"
)

// Delta brings an agent's view from one revision to another. A delta that
// exceeds the size of one message comes in parts; the receiver applies them
// together, so that it never has half of a change in force.
type Delta struct {
	From oleandervalve.Revision
	To   oleandervalve.Revision
	// Full means that the objects replace all earlier ones.
	Full bool
	// Part counts from 0 to Parts-1.
	Part    int
	Parts   int
	Objects []Object
	Removed []Ref
	// Digest is the digest of the receiver's whole view at To.
	Digest uint64

	encoded []byte
}

// Ack tells the sender of deltas which revision is in force.
type Ack struct {
	Revision oleandervalve.Revision `cbor:"revision"`
	Digest   uint64                 `cbor:"digest"`
}

// Resync asks an entry to send deltas from a revision on, or everything.
type Resync struct {
	From oleandervalve.Revision `cbor:"from"`
	Full bool                   `cbor:"full,omitempty"`
	// Stop ends the sending of deltas; another entry has taken over.
	Stop bool `cbor:"stop,omitempty"`
}

// View selects the objects that one process needs.
type View struct {
	// Everything selects all objects; entries need them.
	Everything bool
	// Worker holds the labels that an agent announced for its worker. They are
	// fixed for a connection, so worker labels can be filtered by them.
	Worker map[string]string
}

// includes reports whether the view contains an object. Endpoint labels and
// policies are not filtered by labels: endpoints come and go under an agent,
// and a filtered object would be missing when one arrives.
func (v View) includes(h *held) bool {
	if v.Everything {
		return true
	}
	switch h.object.Kind {
	case KindService, KindPolicy, KindEndpointLabels:
		return true
	case KindWorkerLabels:
		return h.selects(v.Worker)
	}
	return false
}

// MaxPartBytes bounds the uncompressed objects in one part of a delta, unless
// one object alone is larger.
const MaxPartBytes = 4 << 10

// encodedSize returns the size of a value before compression.
func encodedSize(v any) int {
	return len(mustCBOR(v))
}

// Delta builds what a view needs from a revision up to the replica's own, in
// parts. A revision too old for the remembered deletions gets a full delta.
func (r *Replica) Delta(v View, from oleandervalve.Revision, full bool) []Delta {
	full = full || from < r.horizon || from > r.revision
	head := Delta{From: from, To: r.revision, Full: full}
	if full {
		head.From = 0
	}
	var changed []*held
	for _, ref := range r.order {
		if !v.Everything && !agentKind(ref.Kind) {
			continue
		}
		h := r.objects[ref]
		if !v.includes(h) {
			// An object that has left the view is removed from it.
			if !full && oleandervalve.Revision(h.object.Version) > from {
				head.Removed = append(head.Removed, ref)
			}
			continue
		}
		head.Digest ^= h.digest
		if full || oleandervalve.Revision(h.object.Version) > from {
			changed = append(changed, h)
		}
	}
	if !full {
		for _, d := range r.deleted {
			if d.revision > from && r.objects[d.ref] == nil && (v.Everything || agentKind(d.ref.Kind)) {
				head.Removed = append(head.Removed, d.ref)
			}
		}
	}
	return r.packer.split(head, changed)
}

// viewDigest returns the digest of what a view contains.
func (r *Replica) viewDigest(v View) uint64 {
	var d uint64
	for _, ref := range r.order {
		if v.Everything || agentKind(ref.Kind) {
			if h := r.objects[ref]; v.includes(h) {
				d ^= h.digest
			}
		}
	}
	return d
}

// agentKind reports whether agents need objects of a kind. Tokens, teams and
// job defaults are only used by entries.
func agentKind(k Kind) bool {
	return k == KindService || k == KindPolicy || k == KindEndpointLabels || k == KindWorkerLabels
}

// split distributes objects over parts of bounded size; removals go first.
func (p *packer) split(head Delta, changed []*held) []Delta {
	removed := head.Removed
	head.Removed = nil
	part, size := head, 0
	var out []Delta
	flush := func(need int) {
		if size+need > MaxPartBytes && size > 0 {
			out = append(out, part)
			part, size = head, 0
		}
		size += need
	}
	for _, r := range removed {
		flush(encodedSize(r))
		part.Removed = append(part.Removed, r)
	}
	for _, h := range changed {
		flush(h.size)
		part.Objects = append(part.Objects, h.object)
	}
	out = append(out, part)
	for i := range out {
		out[i].Part, out[i].Parts = i, len(out)
		out[i].encoded = out[i].encode(p)
	}
	return out
}

func sortRefs(refs []Ref) {
	sort.Slice(refs, func(i, j int) bool { return refs[i].Compare(refs[j]) < 0 })
}
