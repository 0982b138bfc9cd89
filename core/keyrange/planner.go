package keyrange

import (
	"time"

	"oleandervalve"
)

// LeasePrefix is the common prefix of the lease rows, for a scan.
const LeasePrefix oleandervalve.Key = leasePrefix

// Observation is what a planner knows: the map, and the lease rows read after it.
type Observation struct {
	Map    Map
	Leases []oleandervalve.Row
	// At is the table's own time of reading the leases.
	At time.Time
	// Ended lists home processes that have provably ended.
	Ended map[Home]bool
	// Leaving lists homes that were asked to stop.
	Leaving []Home
	// MaxHomes bounds the number of homes, and with it the renewals per second.
	MaxHomes int
}

// Plan is the next thing to do for the map; Commit is nil if nothing is due.
type Plan struct {
	Commit *oleandervalve.Transaction
	// Lost is the home whose ranges Commit takes over; zero if it assigns new ranges.
	Lost Home
	// Moves are planned moves, which the homes they start from carry out.
	Moves []Move
}

// Next returns the most urgent change: takeover, then first assignment, then
// planned moves. Any entry may commit it; the conditions let only one succeed.
func (o Observation) Next(id oleandervalve.MutationID, lease LeaseOptions) Plan {
	rows := map[oleandervalve.AgentID]oleandervalve.Row{}
	var live []Home
	expired := map[Home]bool{}
	leaving := map[Home]bool{}
	for _, h := range o.Leaving {
		leaving[h] = true
	}
	for _, r := range o.Leases {
		h, ok := HomeOf(r)
		if !ok {
			continue
		}
		rows[h.Agent] = r
		age := o.At.Sub(r.WrittenAt)
		// The table checks the expiry again at commit, against its own clock.
		expired[h] = age >= lease.Duration+lease.Guard
		if age < 3*lease.Every && !o.Ended[h] && !leaving[h] {
			live = append(live, h)
		}
	}
	live = o.Map.Choose(live, o.MaxHomes)
	for _, h := range o.Map.Homes() {
		l := Lost{Home: h, Lease: rows[h.Agent]}
		switch {
		case o.Ended[h]:
			l.Proof = ProofEnded
		case expired[h]:
			l.Proof = ProofExpired
		default:
			continue
		}
		if x, ok := o.Map.TakeOver(id, l, lease, live); ok {
			return Plan{Commit: &x, Lost: h}
		}
	}
	if x, ok := o.Map.Assign(id, live); ok {
		return Plan{Commit: &x}
	}
	return Plan{Moves: o.Map.Moves(live, o.Leaving)}
}
