package operator

import "oleandervalve"

// floor holds a newly started process back until its revision is not older
// than that of its peers.
type floor struct {
	reports map[string]oleandervalve.Revision
	highest oleandervalve.Revision
	closed  bool
	ready   bool
}

func newFloor() floor { return floor{reports: map[string]oleandervalve.Revision{}} }

func (f *floor) reached(r oleandervalve.Revision) {
	f.ready = f.ready || f.closed && r >= f.highest
}

// ReportPeer notes the revision that a peer has in force. A report after
// CloseFloor still raises the floor of a process that is not ready yet.
func (r *Replica) ReportPeer(peer string, rev oleandervalve.Revision) {
	if r.floor.ready {
		return
	}
	r.floor.reports[peer] = rev
	r.floor.highest = max(r.floor.highest, rev)
}

// Peers returns how many peers have reported their revision.
func (r *Replica) Peers() int { return len(r.floor.reports) }

// CloseFloor ends the wait for reports: all known peers have answered, or the
// time to wait for them is over. A process without any peer closes at once.
func (r *Replica) CloseFloor() {
	r.floor.closed = true
	if r.loaded {
		r.floor.reached(r.revision)
	}
}

// Floor returns the revision that the process must reach before it serves.
func (r *Replica) Floor() oleandervalve.Revision { return r.floor.highest }

// Ready reports whether the process may serve; once true it stays true.
func (r *Replica) Ready() bool { return r.floor.ready }
