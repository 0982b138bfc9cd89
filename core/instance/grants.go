package instance

import (
	"hash/fnv"
	"time"

	"oleandervalve"
	"oleandervalve/core/credit"
)

const (
	// CreditValidity is how long an entry may use a credit after receipt.
	CreditValidity = 2 * time.Second
	// CreditMargin is how much longer the ledger keeps the slot of a credit: it
	// covers the way of the credit to the entry and of the request back.
	CreditMargin = time.Second
	// renewAfter is the age at which unused credits are renewed, early enough
	// that an idle entry never runs out of them.
	renewAfter = time.Second
	// maxRenewals bounds the life of a credit that its entry has lost.
	maxRenewals = 5
	// revokeAgain is the time after which an unanswered revocation is repeated.
	revokeAgain = 500 * time.Millisecond
)

// ClassDemand counts the requests that wait at one entry.
type ClassDemand = credit.Demand

// Grant gives credits to an entry; a Count of 0 renews the unexpired credits
// that the entry holds for the endpoint and adds none.
type Grant struct {
	Entry    oleandervalve.EntryID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	// Class is the class that the credits were granted for; empty means any.
	Class    oleandervalve.ClassName
	Count    int
	ValidFor time.Duration
}

// Revoke asks an entry to return unused credits for an endpoint; the entry
// answers with a credit return, of count 0 if it holds none.
type Revoke struct {
	Entry    oleandervalve.EntryID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	Count    int
}

type heldCredit struct {
	class    oleandervalve.ClassName
	charge   float64
	sent     time.Time
	renewals int
}

func (h heldCredit) lapsed(now time.Time) bool {
	return now.Sub(h.sent) >= CreditValidity+CreditMargin
}

// Demand records what waits at an entry; it replaces the entry's earlier demand.
func (l *Ledger) Demand(_ time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch, d []ClassDemand) {
	if v := l.entries[e]; v != nil && v.epoch == c {
		v.demand = append([]ClassDemand(nil), d...)
	}
}

// Return takes unused credits back from an entry; it also answers a revocation.
// An entry returns credits granted for a class only when nothing waits that
// could use them, so its demand for that class ends.
func (l *Ledger) Return(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch,
	id oleandervalve.EndpointID, class oleandervalve.ClassName, count int,
) {
	x, v := l.endpoints[id], l.entries[e]
	if x == nil || v == nil || v.epoch != c {
		return
	}
	delete(x.revoking, e)
	for i := range v.demand {
		if d := &v.demand[i]; count > 0 && class != "" && d.Service == x.announced.Service && d.Class == class {
			d.Waiting = 0
		}
	}
	for ; count > 0 && len(x.held[e]) > 0; count-- {
		l.dropOne(now, x, e, class)
	}
}

// dropOne removes a credit of the class, or else the oldest one.
func (l *Ledger) dropOne(now time.Time, x *endpointState, e oleandervalve.EntryID, class oleandervalve.ClassName) {
	list := x.held[e]
	at := 0
	for i, h := range list {
		if h.class == class {
			at = i
			break
		}
	}
	h := list[at]
	x.held[e] = append(list[:at], list[at+1:]...)
	x.outstanding--
	if h.class != "" {
		l.service(x.announced.Service).Undo(now, h.class, h.charge)
	}
}

func (l *Ledger) dropHeld(now time.Time, x *endpointState, e oleandervalve.EntryID, n int) {
	for range n {
		l.dropOne(now, x, e, x.held[e][0].class)
	}
}

func (l *Ledger) useCredit(now time.Time, x *endpointState, e oleandervalve.EntryID, class oleandervalve.ClassName) {
	if len(x.held[e]) > 0 {
		l.dropOne(now, x, e, class)
	}
}

func (l *Ledger) expireHeld(now time.Time, x *endpointState) {
	for _, e := range l.entryIDs {
		for i := 0; i < len(x.held[e]); {
			if h := x.held[e][i]; h.lapsed(now) {
				x.held[e] = append(x.held[e][:i], x.held[e][i+1:]...)
				x.outstanding--
				if h.class != "" {
					l.service(x.announced.Service).Undo(now, h.class, h.charge)
				}
				continue
			}
			i++
		}
	}
}

// claim is the unmet demand of one class at one entry.
type claim struct {
	entry oleandervalve.EntryID
	teams int
	unmet int
	// held counts the slots and credits of the class at the entry.
	held int
}

// claims lists the unmet demand for a service by class. A credit that is still
// outstanding will serve one of the waiting requests: frames keep their order,
// so the requests that an entry sent before its demand are admitted already.
func (l *Ledger) claims(s oleandervalve.ServiceName) ([]oleandervalve.ClassName, map[oleandervalve.ClassName][]*claim) {
	var classes []oleandervalve.ClassName
	out := map[oleandervalve.ClassName][]*claim{}
	for _, e := range l.entryIDs {
		idle := 0
		for _, x := range l.order {
			if x.announced.Service == s {
				for _, h := range x.held[e] {
					if h.class == "" {
						idle++
					}
				}
			}
		}
		for _, d := range l.entries[e].demand {
			if d.Service != s {
				continue
			}
			tagged := l.tagged(s, e, d.Class)
			unmet := d.Waiting - tagged
			used := min(max(0, unmet), idle)
			unmet, idle = unmet-used, idle-used
			if unmet <= 0 {
				continue
			}
			if out[d.Class] == nil {
				classes = append(classes, d.Class)
			}
			c := &claim{entry: e, teams: max(1, d.Teams), unmet: unmet, held: tagged}
			out[d.Class] = append(out[d.Class], c)
		}
	}
	if len(classes) > 0 {
		for k, r := range l.requests.running {
			for _, c := range out[r.class] {
				if c.entry == k.entry && r.endpoint.announced.Service == s {
					c.held++
				}
			}
		}
	}
	credit.SortClasses(classes)
	return classes, out
}

func (l *Ledger) tagged(s oleandervalve.ServiceName, e oleandervalve.EntryID, class oleandervalve.ClassName) int {
	n := 0
	for _, x := range l.order {
		if x.announced.Service != s {
			continue
		}
		for _, h := range x.held[e] {
			if h.class == class {
				n++
			}
		}
	}
	return n
}

// Grants hands free slots out as credits and renews unused ones.
func (l *Ledger) Grants(now time.Time) []Grant {
	if l.draining || len(l.entries) == 0 {
		return nil
	}
	var out []Grant
	for i, x := range l.order {
		l.expireHeld(now, x)
		out = l.renew(now, x, out)
		if !l.firstOfService(i) {
			continue
		}
		out = l.grantDemand(now, x.announced.Service, out)
	}
	for _, x := range l.order {
		for x.free() > 0 {
			out = l.grant(now, x, l.poorest(x), "", out)
		}
	}
	return out
}

// firstOfService reports whether no earlier endpoint has the same service.
func (l *Ledger) firstOfService(i int) bool {
	for _, x := range l.order[:i] {
		if x.announced.Service == l.order[i].announced.Service {
			return false
		}
	}
	return true
}

func (l *Ledger) renew(now time.Time, x *endpointState, out []Grant) []Grant {
	for _, e := range l.entryIDs {
		list := x.held[e]
		if len(list) == 0 || now.Sub(list[0].sent) < renewAfter || list[0].renewals >= maxRenewals {
			continue
		}
		if _, revoked := x.revoking[e]; revoked {
			continue
		}
		for i := range list {
			list[i].sent = now
			list[i].renewals++
		}
		out = append(out, Grant{Entry: e, Epoch: l.entries[e].epoch, Endpoint: x.announced.Endpoint, ValidFor: CreditValidity})
	}
	return out
}

// grantDemand gives the free slots of a service to the classes and entries that wait.
func (l *Ledger) grantDemand(now time.Time, s oleandervalve.ServiceName, out []Grant) []Grant {
	free := l.freeEndpoint(s)
	if free == nil {
		return out
	}
	classes, claims := l.claims(s)
	capacity := l.capacity(s)
	for ; free != nil; free = l.freeEndpoint(s) {
		i := l.service(s).Next(now, capacity, classes)
		if i < 0 {
			return out
		}
		list := claims[classes[i]]
		best := list[0]
		for _, c := range list[1:] {
			if c.held*best.teams < best.held*c.teams {
				best = c
			}
		}
		out = l.grant(now, free, best.entry, classes[i], out)
		best.held++
		best.unmet--
		if best.unmet > 0 {
			continue
		}
		for j, c := range list {
			if c == best {
				claims[classes[i]] = append(list[:j], list[j+1:]...)
				break
			}
		}
		if len(claims[classes[i]]) == 0 {
			classes = append(classes[:i], classes[i+1:]...)
		}
	}
	return out
}

// freeEndpoint returns the endpoint of a service with the most free slots.
func (l *Ledger) freeEndpoint(s oleandervalve.ServiceName) *endpointState {
	var best *endpointState
	for _, x := range l.order {
		if x.announced.Service == s && x.free() > 0 && (best == nil || x.free() > best.free()) {
			best = x
		}
	}
	return best
}

// poorest returns the entry with the fewest credits for an endpoint; ties are
// broken by a hash, so that single slots spread over the entries.
func (l *Ledger) poorest(x *endpointState) oleandervalve.EntryID {
	best := l.entryIDs[0]
	for _, e := range l.entryIDs[1:] {
		a, b := len(x.held[e]), len(x.held[best])
		if a < b || (a == b && rank(x.announced.Endpoint, e) < rank(x.announced.Endpoint, best)) {
			best = e
		}
	}
	return best
}

func rank(id oleandervalve.EndpointID, e oleandervalve.EntryID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(e))
	return h.Sum32()
}

func (l *Ledger) grant(now time.Time, x *endpointState, e oleandervalve.EntryID, class oleandervalve.ClassName, out []Grant) []Grant {
	h := heldCredit{class: class, sent: now}
	if class != "" {
		h.charge = l.service(x.announced.Service).Take(now, class, l.capacity(x.announced.Service))
	}
	x.held[e] = append(x.held[e], h)
	x.outstanding++
	for i := range out {
		if g := &out[i]; g.Entry == e && g.Endpoint == x.announced.Endpoint && g.Class == class && g.Count > 0 {
			g.Count++
			return out
		}
	}
	return append(out, Grant{
		Entry: e, Epoch: l.entries[e].epoch, Endpoint: x.announced.Endpoint,
		Class: class, Count: 1, ValidFor: CreditValidity,
	})
}

// Revokes asks for unused credits back: all of those of a leaving endpoint,
// those beyond a shrunken capacity, those of entries without demand while
// others wait, and those above an even spread while another entry has fewer.
func (l *Ledger) Revokes(now time.Time) []Revoke {
	out := l.drained
	l.drained = nil
	if l.draining {
		return out
	}
	for _, x := range l.order {
		if x.leaving || x.outstanding == 0 {
			continue
		}
		s := x.announced.Service
		_, claims := l.claims(s)
		excess := x.inUse + x.outstanding - x.capacity()
		wanted := max(0, excess)
		for _, list := range claims {
			for _, c := range list {
				wanted += c.unmet
			}
		}
		even := (x.outstanding + len(l.entryIDs) - 1) / len(l.entryIDs)
		for _, e := range l.entryIDs {
			n := len(x.held[e])
			if at, asked := x.revoking[e]; asked && now.Sub(at) < revokeAgain {
				wanted -= n
				continue
			}
			take := 0
			switch {
			case wanted > 0 && (excess > 0 || !l.waits(s, e)):
				take = min(wanted, n)
			case wanted <= 0 && l.short(x):
				take = max(0, n-even)
			}
			if take == 0 {
				continue
			}
			wanted -= take
			x.revoking[e] = now
			out = append(out, Revoke{Entry: e, Epoch: l.entries[e].epoch, Endpoint: x.announced.Endpoint, Count: take})
		}
	}
	return out
}

// waits reports whether an entry has demand for a service.
func (l *Ledger) waits(s oleandervalve.ServiceName, e oleandervalve.EntryID) bool {
	for _, d := range l.entries[e].demand {
		if d.Service == s && d.Waiting > 0 {
			return true
		}
	}
	return false
}

// short reports whether an entry holds at least two credits fewer than another.
func (l *Ledger) short(x *endpointState) bool {
	low, high := len(x.held[l.entryIDs[0]]), 0
	for _, e := range l.entryIDs {
		low, high = min(low, len(x.held[e])), max(high, len(x.held[e]))
	}
	return high-low >= 2
}
