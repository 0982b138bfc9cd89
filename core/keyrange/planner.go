package keyrange

import (
	"time"

	"oleandervalve"
)

// LeasePrefix is the key prefix of all lease rows, by which a process scans them.
const LeasePrefix oleandervalve.Key = leasePrefix

// Observation is the state from which Next plans: the map, and the lease rows read
// after it.
type Observation struct {
	Map    Map
	Leases []oleandervalve.Row
	// At is when the leases were read, by the table's own clock.
	At time.Time
	// Terminated lists owners whose processes have provably terminated.
	Terminated map[Owner]bool
	// Draining lists owners that were requested to stop.
	Draining []Owner
	// MaxOwners limits the number of owners, and thereby the renewals per second.
	MaxOwners int
}

// Plan is the next change to the map; Commit is nil if there is none to commit.
type Plan struct {
	Commit *oleandervalve.Transaction
	// FailedOwner is the owner whose ranges Commit takes over; zero if it assigns
	// ranges that never had an owner.
	FailedOwner Owner
	// Transfers are planned transfers, each carried out by its current owner.
	Transfers []Transfer
}

// Next returns the most urgent change: takeover, then first assignment, then
// planned transfers. Any entry may commit it; the transaction's conditions let
// only one commit succeed.
func (o Observation) Next(id oleandervalve.MutationID, lease LeaseOptions) Plan {
	rows := map[oleandervalve.AgentID]oleandervalve.Row{}
	var live []Owner
	expired := map[Owner]bool{}
	isDraining := map[Owner]bool{}
	for _, owner := range o.Draining {
		isDraining[owner] = true
	}
	for _, r := range o.Leases {
		owner, ok := OwnerOf(r)
		if !ok {
			continue
		}
		rows[owner.Agent] = r
		age := o.At.Sub(r.WrittenAt)
		// The table checks the expiry again at commit, against its own clock.
		expired[owner] = age >= lease.Duration+lease.Guard
		if age < 3*lease.RenewInterval && !o.Terminated[owner] && !isDraining[owner] {
			live = append(live, owner)
		}
	}
	live = o.Map.SelectOwners(live, o.MaxOwners)
	for _, owner := range o.Map.Owners() {
		failed := FailedOwner{Owner: owner, LeaseRow: rows[owner.Agent]}
		switch {
		case o.Terminated[owner]:
			failed.Proof = ProofTerminated
		case expired[owner]:
			failed.Proof = ProofLeaseExpired
		default:
			continue
		}
		if x, ok := o.Map.TakeOver(id, failed, lease, live); ok {
			return Plan{Commit: &x, FailedOwner: owner}
		}
	}
	if x, ok := o.Map.Assign(id, live); ok {
		return Plan{Commit: &x}
	}
	return Plan{Transfers: o.Map.PlanTransfers(live, o.Draining)}
}
