package handover

import "oleandervalve"

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
