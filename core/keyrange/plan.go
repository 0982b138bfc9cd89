package keyrange

import (
	"strconv"

	"oleandervalve"
)

// Proof says why a home can no longer admit keys.
type Proof string

const (
	// ProofEnded means that the process has ended: the platform reports its
	// instance as gone, or its successor listens on the same address.
	ProofEnded Proof = "ended"
	// ProofExpired means that the lease ran out, which the table checks at commit.
	ProofExpired Proof = "expired"
)

// The candidates of a plan are the homes of lease rows that were read after the
// map: a home that loses its ranges in between then makes the commit conflict.

// Lost describes a home to take over.
type Lost struct {
	Home Home
	// Lease is the home's lease row as read.
	Lease oleandervalve.Row
	Proof Proof
}

// Move is a planned move of one range.
type Move struct {
	Range    ID
	From, To Home
}

// loads counts the ranges of each candidate.
type loads struct {
	homes []Home
	count map[Home]int
}

func (m Map) loads(candidates []Home) loads {
	l := loads{homes: sorted(candidates), count: map[Home]int{}}
	for _, a := range m.ranges {
		l.count[a.Home]++
	}
	return l
}

// least returns the candidate with the fewest ranges, the first in order if several have.
func (l loads) least() Home {
	best := l.homes[0]
	for _, h := range l.homes[1:] {
		if l.count[h] < l.count[best] {
			best = h
		}
	}
	return best
}

func (m Map) commit(id oleandervalve.MutationID, fresh map[ID]bool) oleandervalve.Transaction {
	return oleandervalve.Transaction{
		ID:         id,
		Conditions: []oleandervalve.Condition{{Key: MapKey, Version: m.version}},
		Puts:       []oleandervalve.Put{{Key: MapKey, Value: m.encode(fresh)}},
	}
}

// Assign gives the ranges that never had a home to the least loaded candidates;
// it returns false if there is nothing to change.
func (m Map) Assign(id oleandervalve.MutationID, candidates []Home) (oleandervalve.Transaction, bool) {
	if len(candidates) == 0 {
		return oleandervalve.Transaction{}, false
	}
	m = m.copied()
	l := m.loads(candidates)
	changed := false
	for i, a := range m.ranges {
		if !a.Home.IsZero() {
			continue
		}
		h := l.least()
		l.count[h]++
		m.ranges[i] = Assignment{Home: h}
		changed = true
	}
	return m.commit(id, nil), changed
}

// TakeOver gives the ranges of a lost home to the least loaded candidates; it
// returns false if the home has no range, no candidate is left, or the proof
// does not fit the lease row.
func (m Map) TakeOver(id oleandervalve.MutationID, l Lost, lease LeaseOptions, candidates []Home) (oleandervalve.Transaction, bool) {
	var live []Home
	for _, h := range candidates {
		if h != l.Home {
			live = append(live, h)
		}
	}
	mine := m.Ranges(l.Home)
	if len(mine) == 0 || len(live) == 0 {
		return oleandervalve.Transaction{}, false
	}
	// Once the row belongs to another incarnation, the lost home can't renew any more.
	own := l.Lease.Version != 0 && string(l.Lease.Value) == leaseValue(l.Home)
	if l.Proof != ProofEnded && !own {
		return oleandervalve.Transaction{}, false
	}
	m = m.copied()
	load := m.loads(live)
	fresh := map[ID]bool{}
	for _, r := range mine {
		h := load.least()
		load.count[h]++
		m.ranges[r] = Assignment{Home: h}
		fresh[r] = true
	}
	t := m.commit(id, fresh)
	if own {
		c := oleandervalve.Condition{Key: LeaseKey(l.Home.Agent), Version: l.Lease.Version}
		if l.Proof != ProofEnded {
			c.UnwrittenFor = lease.Duration + lease.Guard
		}
		t.Conditions = append(t.Conditions, c)
		t.Puts = append(t.Puts, oleandervalve.Put{Key: c.Key, Value: []byte(revoked)})
	}
	return t, true
}

// HandOver moves ranges whose records the new home has imported; T stays, because no record is lost.
func (m Map) HandOver(id oleandervalve.MutationID, transfer uint64, ranges []ID, from, to Home) (oleandervalve.Transaction, error) {
	m = m.copied()
	for _, r := range ranges {
		if m.ranges[r].Home != from {
			return oleandervalve.Transaction{}, &oleandervalve.InvalidError{
				Field: "range", Value: strconv.Itoa(int(r)), Remedy: "read the map again: another agent is home of the range",
			}
		}
		m.ranges[r] = Assignment{Home: to, Since: m.ranges[r].Since, Transfer: transfer}
	}
	return m.commit(id, nil), nil
}

// Moves lists the fewest planned moves after which the leaving homes have no
// range and the loads of the candidates differ by at most one.
func (m Map) Moves(candidates, leaving []Home) []Move {
	gone := map[Home]bool{}
	for _, h := range leaving {
		gone[h] = true
	}
	var stay []Home
	known := map[Home]bool{}
	for _, h := range sorted(candidates) {
		if !gone[h] && !known[h] {
			known[h] = true
			stay = append(stay, h)
		}
	}
	if len(stay) == 0 {
		return nil
	}
	m = m.copied()
	l := m.loads(stay)
	var out []Move
	move := func(r ID, to Home) {
		from := m.ranges[r].Home
		out = append(out, Move{Range: r, From: from, To: to})
		l.count[from]--
		l.count[to]++
		m.ranges[r].Home = to
	}
	for i, a := range m.ranges {
		if gone[a.Home] {
			move(ID(i), l.least())
		}
	}
	for i, a := range m.ranges {
		if to := l.least(); known[a.Home] && l.count[a.Home]-l.count[to] > 1 {
			move(ID(i), to)
		}
	}
	return out
}

// Choose returns at most limit homes out of the live ones and keeps those that have ranges.
func (m Map) Choose(live []Home, limit int) []Home {
	l := m.loads(live)
	var out []Home
	for _, used := range [...]bool{true, false} {
		for _, h := range l.homes {
			if (l.count[h] > 0) == used && len(out) < limit {
				out = append(out, h)
			}
		}
	}
	return out
}
