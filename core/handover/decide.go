package handover

import (
	"time"

	"oleandervalve"
)

// Entry is what an entry has for leading.
type Entry struct {
	// CPUShare is its processor share, in processors.
	CPUShare float64
	// Link is the rate of its link; 0 means that it is unknown.
	Link oleandervalve.BitsPerSecond
}

// strengthFactor is the minimum ratio of another entry's processor share, or link, to that of
// the leader for a handover. Placement for a large fleet takes a fifth of a processor, which the
// weakest entries don't have.
const strengthFactor = 2

// HasStrongerProcessor reports whether an entry has a much larger processor share than the leader.
func HasStrongerProcessor(leader, other Entry) bool {
	return other.CPUShare >= strengthFactor*leader.CPUShare
}

// HasWiderLink reports whether an entry has a much wider link than the leader, and a processor
// with which it doesn't hand leadership back.
func HasWiderLink(leader, other Entry) bool {
	return leader.Link > 0 && other.Link >= strengthFactor*leader.Link && strengthFactor*other.CPUShare > leader.CPUShare
}

const (
	// takeoverDelay is the pause before a takeover by an entry with a full processor. The pause is
	// inversely proportional to the entry's processor share, so that attempts rarely collide.
	takeoverDelay = 20 * time.Millisecond
	// minCPUShare is the smallest share used for that pause. It limits the pause of weak entries.
	minCPUShare = 0.1
	// yieldDelay is how much longer an entry waits that is much weaker than the lost leader. Another
	// entry as strong as that one is likely to exist, and a handover to it would interrupt service
	// again, for about a second. If there is none, the takeover is that much later.
	yieldDelay = 300 * time.Millisecond
)

// TakeoverDelay returns the mean time for which an entry waits before it replaces a leader that was
// lost, given their processor shares; that of the leader is 0 if it is unknown.
func TakeoverDelay(own, lost float64) time.Duration {
	delay := time.Duration(float64(takeoverDelay) / max(minCPUShare, own))
	if lost >= strengthFactor*own {
		delay += yieldDelay
	}
	return delay
}
