package quota

import (
	"cmp"
	"slices"

	"oleandervalve"
)

// Claim says on what ground a team may use an amount.
type Claim string

const (
	// Owned means that the amount is within the quota of the team.
	Owned Claim = "owned"
	// Borrowed means that the amount is lent from the unused quota of other teams.
	Borrowed Claim = "borrowed"
	// Refused means that neither the team nor the others have unused quota.
	Refused Claim = "refused"
)

type team struct {
	quota, used oleandervalve.Resources
	// firm is the part of the use that can't be evicted.
	firm oleandervalve.Resources
}

// Ledger holds the quotas and the use of all teams.
type Ledger struct {
	teams      map[oleandervalve.TeamID]*team
	order      []oleandervalve.TeamID
	quota      oleandervalve.Resources
	used       oleandervalve.Resources
	unassigned oleandervalve.Resources
}

// NewLedger returns a ledger without teams.
func NewLedger() *Ledger {
	return &Ledger{teams: map[oleandervalve.TeamID]*team{}}
}

// SetQuota sets the quota of a team; a team without one owns nothing and can only borrow.
func (l *Ledger) SetQuota(id oleandervalve.TeamID, quota oleandervalve.Resources) {
	t := l.team(id)
	l.quota = l.quota.Sub(t.quota).Add(quota)
	t.quota = quota
}

// SetUnassigned sets the capacity that belongs to no team and is lent like unused quota.
func (l *Ledger) SetUnassigned(r oleandervalve.Resources) { l.unassigned = r }

func (l *Ledger) team(id oleandervalve.TeamID) *team {
	t := l.teams[id]
	if t == nil {
		t = &team{}
		l.teams[id] = t
		i, _ := slices.BinarySearch(l.order, id)
		l.order = slices.Insert(l.order, i, id)
	}
	return t
}

// Claim says whether the team may use the amount in addition. Only work that
// may be evicted borrows, since a loan must be returnable; it does not count
// against other work of its own team, for which it can make room.
func (l *Ledger) Claim(id oleandervalve.TeamID, r oleandervalve.Resources, evictable bool) Claim {
	t := l.team(id)
	if !evictable {
		if t.firm.Add(r).Fits(t.quota) {
			return Owned
		}
		return Refused
	}
	if t.used.Add(r).Fits(t.quota) {
		return Owned
	}
	if l.used.Add(r).Fits(l.quota.Add(l.unassigned)) {
		return Borrowed
	}
	return Refused
}

// Charge adds to the use of a team.
func (l *Ledger) Charge(id oleandervalve.TeamID, r oleandervalve.Resources, evictable bool) {
	t := l.team(id)
	t.used = t.used.Add(r)
	l.used = l.used.Add(r)
	if !evictable {
		t.firm = t.firm.Add(r)
	}
}

// Release takes from the use of a team.
func (l *Ledger) Release(id oleandervalve.TeamID, r oleandervalve.Resources, evictable bool) {
	l.Charge(id, oleandervalve.Resources{}.Sub(r), evictable)
}

// Share returns the dominant share of a team: its largest use relative to its
// quota over processors, memory and accelerators. Above 1 the team borrows.
func (l *Ledger) Share(id oleandervalve.TeamID) float64 {
	t := l.teams[id]
	if t == nil {
		return 0
	}
	return max(
		ratio(int64(t.used.CPU), int64(t.quota.CPU)),
		ratio(int64(t.used.Memory), int64(t.quota.Memory)),
		ratio(int64(t.used.Accelerators), int64(t.quota.Accelerators)),
	)
}

// noQuotaShare orders a team that uses what it owns none of behind all others.
const noQuotaShare = 1e6

func ratio(used, quota int64) float64 {
	if used <= 0 {
		return 0
	}
	if quota <= 0 {
		return noQuotaShare
	}
	return float64(used) / float64(quota)
}

// Borrows reports whether the team uses more than its quota in a dimension in which r is not zero.
func (l *Ledger) Borrows(id oleandervalve.TeamID, r oleandervalve.Resources) bool {
	t := l.teams[id]
	if t == nil {
		return false
	}
	return r.CPU > 0 && t.used.CPU > t.quota.CPU ||
		r.Memory > 0 && t.used.Memory > t.quota.Memory ||
		r.Accelerators > 0 && t.used.Accelerators > t.quota.Accelerators
}

// Standing is the explanation of one team's use.
type Standing struct {
	Team  oleandervalve.TeamID    `json:"team"`
	Quota oleandervalve.Resources `json:"quota"`
	Used  oleandervalve.Resources `json:"used"`
	Share float64                 `json:"share"`
}

// Explain returns the standing of a team.
func (l *Ledger) Explain(id oleandervalve.TeamID) Standing {
	t := l.team(id)
	return Standing{Team: id, Quota: t.quota, Used: t.used, Share: l.Share(id)}
}

// Teams returns the teams from the smallest to the largest share, ties by name.
func (l *Ledger) Teams() []oleandervalve.TeamID {
	ids := slices.Clone(l.order)
	shares := make(map[oleandervalve.TeamID]float64, len(ids))
	for _, id := range ids {
		shares[id] = l.Share(id)
	}
	slices.SortStableFunc(ids, func(a, b oleandervalve.TeamID) int { return cmp.Compare(shares[a], shares[b]) })
	return ids
}
