package quota

import (
	"cmp"
	"slices"

	"oleandervalve"
)

// Claim says which quota, if any, covers an amount that a team requests.
type Claim string

const (
	// Owned means that the team's own quota covers the amount.
	Owned Claim = "owned"
	// Borrowed means that the unused quota of other teams covers the amount.
	Borrowed Claim = "borrowed"
	// Refused means that neither the team's quota nor the unused quota of others covers the amount.
	Refused Claim = "refused"
)

type team struct {
	quota, used oleandervalve.Resources
	// nonEvictable is the part of used that belongs to tasks that can't be evicted.
	nonEvictable oleandervalve.Resources
}

// Ledger holds the quotas and the resource use of all teams.
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

// SetQuota sets the quota of a team; a team without quota can only borrow.
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

// Claim reports which quota covers an additional amount for the team. Only
// evictable tasks may borrow, since borrowed quota must be returned on request.
// Evictable tasks don't count against non-evictable tasks of their own team,
// because they can be evicted for them.
func (l *Ledger) Claim(id oleandervalve.TeamID, r oleandervalve.Resources, evictable bool) Claim {
	t := l.team(id)
	if !evictable {
		if t.nonEvictable.Add(r).Fits(t.quota) {
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

// Charge adds an amount to the use of a team.
func (l *Ledger) Charge(id oleandervalve.TeamID, r oleandervalve.Resources, evictable bool) {
	t := l.team(id)
	t.used = t.used.Add(r)
	l.used = l.used.Add(r)
	if !evictable {
		t.nonEvictable = t.nonEvictable.Add(r)
	}
}

// Release subtracts an amount from the use of a team.
func (l *Ledger) Release(id oleandervalve.TeamID, r oleandervalve.Resources, evictable bool) {
	l.Charge(id, oleandervalve.Resources{}.Sub(r), evictable)
}

// Share returns the dominant share of a team: the largest used fraction of its
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

// noQuotaShare is the share of a team that uses a resource without having quota
// for it; it orders the team behind all others.
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

// Borrows reports whether the team exceeds its quota of a resource that r contains.
func (l *Ledger) Borrows(id oleandervalve.TeamID, r oleandervalve.Resources) bool {
	t := l.teams[id]
	if t == nil {
		return false
	}
	return r.CPU > 0 && t.used.CPU > t.quota.CPU ||
		r.Memory > 0 && t.used.Memory > t.quota.Memory ||
		r.Accelerators > 0 && t.used.Accelerators > t.quota.Accelerators
}

// Status is the quota, the use and the share of one team.
type Status struct {
	Team  oleandervalve.TeamID    `json:"team"`
	Quota oleandervalve.Resources `json:"quota"`
	Used  oleandervalve.Resources `json:"used"`
	Share float64                 `json:"share"`
}

// TeamStatus returns the quota, the use and the share of a team.
func (l *Ledger) TeamStatus(id oleandervalve.TeamID) Status {
	t := l.team(id)
	return Status{Team: id, Quota: t.quota, Used: t.used, Share: l.Share(id)}
}

// Teams returns the teams ordered by share, the smallest first, ties by name.
func (l *Ledger) Teams() []oleandervalve.TeamID {
	ids := slices.Clone(l.order)
	shares := make(map[oleandervalve.TeamID]float64, len(ids))
	for _, id := range ids {
		shares[id] = l.Share(id)
	}
	slices.SortStableFunc(ids, func(a, b oleandervalve.TeamID) int { return cmp.Compare(shares[a], shares[b]) })
	return ids
}
