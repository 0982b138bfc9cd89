package operator

import "oleandervalve"

// readinessGate keeps a newly started process from handling requests until its
// revision is at least that of its peers.
type readinessGate struct {
	peerRevisions map[string]oleandervalve.Revision
	required      oleandervalve.Revision
	// reportsClosed means that no further reports of peers are awaited.
	reportsClosed bool
	ready         bool
}

func newReadinessGate() readinessGate {
	return readinessGate{peerRevisions: map[string]oleandervalve.Revision{}}
}

// update makes the process ready if it has reached the required revision and no
// reports of peers are awaited. It never makes the process unready.
func (g *readinessGate) update(r oleandervalve.Revision) {
	g.ready = g.ready || g.reportsClosed && r >= g.required
}

// RecordPeerRevision records the revision that a peer has applied. It raises
// the required revision even after StopWaitingForPeers, as long as the process is
// not ready.
func (r *Replica) RecordPeerRevision(peer string, rev oleandervalve.Revision) {
	if r.readiness.ready {
		return
	}
	r.readiness.peerRevisions[peer] = rev
	r.readiness.required = max(r.readiness.required, rev)
}

// ReportedPeers returns the number of peers that have reported their revision.
func (r *Replica) ReportedPeers() int { return len(r.readiness.peerRevisions) }

// StopWaitingForPeers ends the wait for reports of peers. It is called when all
// known peers have reported, when the wait has timed out, or at once if there
// are no peers.
func (r *Replica) StopWaitingForPeers() {
	r.readiness.reportsClosed = true
	if r.loaded {
		r.readiness.update(r.revision)
	}
}

// RequiredRevision returns the revision that the process must reach before it may
// handle requests.
func (r *Replica) RequiredRevision() oleandervalve.Revision { return r.readiness.required }

// Ready reports whether the process may handle requests. Once true, it stays true.
func (r *Replica) Ready() bool { return r.readiness.ready }
