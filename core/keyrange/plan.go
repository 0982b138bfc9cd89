package keyrange

import (
	"strconv"

	"oleandervalve"
)

// Proof is the evidence that an owner can no longer admit keys.
type Proof string

const (
	// ProofTerminated means that the process has terminated: the platform reports
	// its instance as absent, or its successor listens on the same address.
	ProofTerminated Proof = "ended"
	// ProofLeaseExpired means that the lease has expired, which the table checks at commit.
	ProofLeaseExpired Proof = "expired"
)

// The candidates of a plan are the owners named in lease rows that were read after
// the map, so that the commit conflicts if a candidate's ranges are taken over in
// between.

// FailedOwner describes an owner whose ranges are to be taken over.
type FailedOwner struct {
	Owner Owner
	// LeaseRow is the owner's lease row as read.
	LeaseRow oleandervalve.Row
	Proof    Proof
}

// Transfer is a planned transfer of one range.
type Transfer struct {
	Range    ID
	From, To Owner
}

// rangeCounts counts the ranges of each candidate.
type rangeCounts struct {
	candidates []Owner
	count      map[Owner]int
}

// countRanges counts the ranges of all owners; leastLoaded then selects among the
// candidates.
func (m Map) countRanges(candidates []Owner) rangeCounts {
	counts := rangeCounts{candidates: sortedOwners(candidates), count: map[Owner]int{}}
	for _, a := range m.ranges {
		counts.count[a.Owner]++
	}
	return counts
}

// leastLoaded returns the candidate with the fewest ranges, the first in order if several have.
func (c rangeCounts) leastLoaded() Owner {
	least := c.candidates[0]
	for _, owner := range c.candidates[1:] {
		if c.count[owner] < c.count[least] {
			least = owner
		}
	}
	return least
}

// updateTransaction returns the transaction that replaces the row of the map; the
// ranges in takenOver get the commit time as their takeover time.
func (m Map) updateTransaction(id oleandervalve.MutationID, takenOver map[ID]bool) oleandervalve.Transaction {
	return oleandervalve.Transaction{
		ID:         id,
		Conditions: []oleandervalve.Condition{{Key: MapKey, Version: m.version}},
		Puts:       []oleandervalve.Put{{Key: MapKey, Value: m.encode(takenOver)}},
	}
}

// Assign assigns the ranges that never had an owner to the least loaded
// candidates; it returns false if there is nothing to change.
func (m Map) Assign(id oleandervalve.MutationID, candidates []Owner) (oleandervalve.Transaction, bool) {
	if len(candidates) == 0 {
		return oleandervalve.Transaction{}, false
	}
	m = m.clone()
	counts := m.countRanges(candidates)
	changed := false
	for i, a := range m.ranges {
		if !a.Owner.IsZero() {
			continue
		}
		owner := counts.leastLoaded()
		counts.count[owner]++
		m.ranges[i] = Assignment{Owner: owner}
		changed = true
	}
	return m.updateTransaction(id, nil), changed
}

// TakeOver assigns the ranges of a failed owner to the least loaded candidates;
// it returns false if the owner has no ranges, no other candidate exists, or the
// lease row does not support the proof.
func (m Map) TakeOver(id oleandervalve.MutationID, failed FailedOwner, lease LeaseOptions, candidates []Owner) (oleandervalve.Transaction, bool) {
	var successors []Owner
	for _, owner := range candidates {
		if owner != failed.Owner {
			successors = append(successors, owner)
		}
	}
	ranges := m.Ranges(failed.Owner)
	if len(ranges) == 0 || len(successors) == 0 {
		return oleandervalve.Transaction{}, false
	}
	// If another incarnation has written the row, the failed owner can't renew its
	// lease any more, and the row does not show when that lease expires.
	ownsRow := failed.LeaseRow.Version != 0 && string(failed.LeaseRow.Value) == leaseValue(failed.Owner)
	if failed.Proof != ProofTerminated && !ownsRow {
		return oleandervalve.Transaction{}, false
	}
	m = m.clone()
	counts := m.countRanges(successors)
	takenOver := map[ID]bool{}
	for _, r := range ranges {
		owner := counts.leastLoaded()
		counts.count[owner]++
		m.ranges[r] = Assignment{Owner: owner}
		takenOver[r] = true
	}
	t := m.updateTransaction(id, takenOver)
	if ownsRow {
		c := oleandervalve.Condition{Key: LeaseKey(failed.Owner.Agent), Version: failed.LeaseRow.Version}
		if failed.Proof != ProofTerminated {
			c.UnwrittenFor = lease.Duration + lease.Guard
		}
		t.Conditions = append(t.Conditions, c)
		t.Puts = append(t.Puts, oleandervalve.Put{Key: c.Key, Value: []byte(revoked)})
	}
	return t, true
}

// Reassign assigns ranges whose records the new owner has imported to that owner.
// TakenOverAt stays, because no record is lost.
func (m Map) Reassign(id oleandervalve.MutationID, transfer uint64, ranges []ID, from, to Owner) (oleandervalve.Transaction, error) {
	m = m.clone()
	for _, r := range ranges {
		if m.ranges[r].Owner != from {
			return oleandervalve.Transaction{}, &oleandervalve.InvalidError{
				Field: "range", Value: strconv.Itoa(int(r)), Remedy: "read the map again: another agent is home of the range",
			}
		}
		m.ranges[r] = Assignment{Owner: to, TakenOverAt: m.ranges[r].TakenOverAt, Transfer: transfer}
	}
	return m.updateTransaction(id, nil), nil
}

// PlanTransfers lists the fewest transfers after which the draining owners have no
// ranges and the range counts of the other candidates differ by at most one.
func (m Map) PlanTransfers(candidates, draining []Owner) []Transfer {
	isDraining := map[Owner]bool{}
	for _, owner := range draining {
		isDraining[owner] = true
	}
	var remaining []Owner
	isRemaining := map[Owner]bool{}
	for _, owner := range sortedOwners(candidates) {
		if !isDraining[owner] && !isRemaining[owner] {
			isRemaining[owner] = true
			remaining = append(remaining, owner)
		}
	}
	if len(remaining) == 0 {
		return nil
	}
	m = m.clone()
	counts := m.countRanges(remaining)
	var out []Transfer
	transfer := func(r ID, to Owner) {
		from := m.ranges[r].Owner
		out = append(out, Transfer{Range: r, From: from, To: to})
		counts.count[from]--
		counts.count[to]++
		m.ranges[r].Owner = to
	}
	for i, a := range m.ranges {
		if isDraining[a.Owner] {
			transfer(ID(i), counts.leastLoaded())
		}
	}
	for i, a := range m.ranges {
		if to := counts.leastLoaded(); isRemaining[a.Owner] && counts.count[a.Owner]-counts.count[to] > 1 {
			transfer(ID(i), to)
		}
	}
	return out
}

// SelectOwners returns at most limit of the live owners and prefers those that
// have ranges already.
func (m Map) SelectOwners(live []Owner, limit int) []Owner {
	counts := m.countRanges(live)
	var out []Owner
	for _, ownsRanges := range [...]bool{true, false} {
		for _, owner := range counts.candidates {
			if (counts.count[owner] > 0) == ownsRanges && len(out) < limit {
				out = append(out, owner)
			}
		}
	}
	return out
}
