package instance

import (
	"hash/fnv"
	"time"

	"oleandervalve"
	"oleandervalve/core/credit"
)

const (
	// CreditValidity is how long an entry may use a credit after receiving it.
	CreditValidity = 2 * time.Second
	// CreditMargin is how much longer the ledger reserves the slot of a credit.
	// It covers the transmission of the credit to the entry and of the request
	// back.
	CreditMargin = time.Second
	// renewAfter is the age at which unused credits are renewed, early enough
	// that the credits of an idle entry don't expire.
	renewAfter = time.Second
	// maxRenewals limits how long the ledger reserves a slot for a credit that
	// its entry no longer has.
	maxRenewals = 5
	// revokeRetryInterval is the time after which an unanswered revocation is
	// sent again.
	revokeRetryInterval = 500 * time.Millisecond
)

// ClassDemand counts the waiting requests of one class at one entry.
type ClassDemand = credit.Demand

// Grant gives credits to an entry. A Count of 0 adds no credits and renews the
// unexpired ones that the entry holds for the endpoint.
type Grant struct {
	Entry    oleandervalve.EntryID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	// Class is the class that the credits were granted for; empty means any.
	Class    oleandervalve.ClassName
	Count    int
	ValidFor time.Duration
}

// Revoke asks an entry to return unused credits for an endpoint. The entry
// answers with a credit return, whose count is 0 if it holds none.
type Revoke struct {
	Entry    oleandervalve.EntryID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	Count    int
}

// heldCredit is an unused credit of an entry, sent or last renewed at sentAt.
type heldCredit struct {
	class    oleandervalve.ClassName
	charge   float64
	sentAt   time.Time
	renewals int
}

func (h heldCredit) expired(now time.Time) bool {
	return now.Sub(h.sentAt) >= CreditValidity+CreditMargin
}

// Demand records the requests that wait at an entry and replaces the entry's
// previous demand.
func (l *Ledger) Demand(_ time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch, d []ClassDemand) {
	if entry := l.entries[e]; entry != nil && entry.epoch == c {
		entry.demand = append([]ClassDemand(nil), d...)
	}
}

// Return takes back unused credits that an entry returns, unprompted or in
// answer to a revocation. The return of credits granted for a class clears the
// demand of the entry for that class.
func (l *Ledger) Return(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch,
	id oleandervalve.EndpointID, class oleandervalve.ClassName, count int,
) {
	ep, entry := l.endpoints[id], l.entries[e]
	if ep == nil || entry == nil || entry.epoch != c {
		return
	}
	delete(ep.revokedAt, e)
	for i := range entry.demand {
		if d := &entry.demand[i]; count > 0 && class != "" && d.Service == ep.announced.Service && d.Class == class {
			d.Waiting = 0
		}
	}
	for ; count > 0 && len(ep.held[e]) > 0; count-- {
		l.dropCredit(now, ep, e, class)
	}
}

// dropCredit removes a credit granted for the class, or the oldest credit if
// there is none.
func (l *Ledger) dropCredit(now time.Time, ep *endpointState, e oleandervalve.EntryID, class oleandervalve.ClassName) {
	list := ep.held[e]
	at := 0
	for i, h := range list {
		if h.class == class {
			at = i
			break
		}
	}
	h := list[at]
	ep.held[e] = append(list[:at], list[at+1:]...)
	ep.outstanding--
	if h.class != "" {
		l.sharesOf(ep.announced.Service).Undo(now, h.class, h.charge)
	}
}

func (l *Ledger) dropCredits(now time.Time, ep *endpointState, e oleandervalve.EntryID, n int) {
	for range n {
		l.dropCredit(now, ep, e, ep.held[e][0].class)
	}
}

func (l *Ledger) consumeCredit(now time.Time, ep *endpointState, e oleandervalve.EntryID, class oleandervalve.ClassName) {
	if len(ep.held[e]) > 0 {
		l.dropCredit(now, ep, e, class)
	}
}

func (l *Ledger) dropExpired(now time.Time, ep *endpointState) {
	for _, e := range l.entryIDs {
		for i := 0; i < len(ep.held[e]); {
			if h := ep.held[e][i]; h.expired(now) {
				ep.held[e] = append(ep.held[e][:i], ep.held[e][i+1:]...)
				ep.outstanding--
				if h.class != "" {
					l.sharesOf(ep.announced.Service).Undo(now, h.class, h.charge)
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
	// held counts the slots and credits that the entry has for the class.
	held int
}

// claims lists the unmet demand for a service by class. Outstanding credits are
// deducted, because each of them will serve one of the waiting requests: frames
// arrive in order, so the requests that an entry sent before its demand have
// already been admitted.
func (l *Ledger) claims(s oleandervalve.ServiceName) ([]oleandervalve.ClassName, map[oleandervalve.ClassName][]*claim) {
	var classes []oleandervalve.ClassName
	out := map[oleandervalve.ClassName][]*claim{}
	for _, e := range l.entryIDs {
		anyClass := 0
		for _, ep := range l.sortedEndpoints {
			if ep.announced.Service == s {
				for _, h := range ep.held[e] {
					if h.class == "" {
						anyClass++
					}
				}
			}
		}
		for _, d := range l.entries[e].demand {
			if d.Service != s {
				continue
			}
			classCredits := l.creditsForClass(s, e, d.Class)
			unmet := d.Waiting - classCredits
			covered := min(max(0, unmet), anyClass)
			unmet, anyClass = unmet-covered, anyClass-covered
			if unmet <= 0 {
				continue
			}
			if out[d.Class] == nil {
				classes = append(classes, d.Class)
			}
			c := &claim{entry: e, teams: max(1, d.Teams), unmet: unmet, held: classCredits}
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

// creditsForClass counts an entry's credits for a service that were granted for
// a class.
func (l *Ledger) creditsForClass(s oleandervalve.ServiceName, e oleandervalve.EntryID, class oleandervalve.ClassName) int {
	n := 0
	for _, ep := range l.sortedEndpoints {
		if ep.announced.Service != s {
			continue
		}
		for _, h := range ep.held[e] {
			if h.class == class {
				n++
			}
		}
	}
	return n
}

// Grants issues credits for the free slots and renews unused credits.
func (l *Ledger) Grants(now time.Time) []Grant {
	if l.draining || len(l.entries) == 0 {
		return nil
	}
	var out []Grant
	for i, ep := range l.sortedEndpoints {
		l.dropExpired(now, ep)
		out = l.renew(now, ep, out)
		if !l.isFirstOfService(i) {
			continue
		}
		out = l.grantDemand(now, ep.announced.Service, out)
	}
	for _, ep := range l.sortedEndpoints {
		for ep.freeSlots() > 0 {
			out = l.grantCredit(now, ep, l.entryWithFewestCredits(ep), "", out)
		}
	}
	return out
}

// isFirstOfService reports whether no earlier endpoint has the same service.
func (l *Ledger) isFirstOfService(i int) bool {
	for _, ep := range l.sortedEndpoints[:i] {
		if ep.announced.Service == l.sortedEndpoints[i].announced.Service {
			return false
		}
	}
	return true
}

func (l *Ledger) renew(now time.Time, ep *endpointState, out []Grant) []Grant {
	for _, e := range l.entryIDs {
		list := ep.held[e]
		if len(list) == 0 || now.Sub(list[0].sentAt) < renewAfter || list[0].renewals >= maxRenewals {
			continue
		}
		if _, revoked := ep.revokedAt[e]; revoked {
			continue
		}
		for i := range list {
			list[i].sentAt = now
			list[i].renewals++
		}
		out = append(out, Grant{Entry: e, Epoch: l.entries[e].epoch, Endpoint: ep.announced.Endpoint, ValidFor: CreditValidity})
	}
	return out
}

// grantDemand grants the free slots of a service to classes and entries with
// unmet demand. The shares select the class, and the entry with the fewest
// slots and credits per team comes first.
func (l *Ledger) grantDemand(now time.Time, s oleandervalve.ServiceName, out []Grant) []Grant {
	free := l.freeEndpoint(s)
	if free == nil {
		return out
	}
	classes, claims := l.claims(s)
	capacity := l.serviceCapacity(s)
	for ; free != nil; free = l.freeEndpoint(s) {
		i := l.sharesOf(s).Next(now, capacity, classes)
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
		out = l.grantCredit(now, free, best.entry, classes[i], out)
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
	for _, ep := range l.sortedEndpoints {
		if ep.announced.Service == s && ep.freeSlots() > 0 && (best == nil || ep.freeSlots() > best.freeSlots()) {
			best = ep
		}
	}
	return best
}

// entryWithFewestCredits returns the entry with the fewest credits for an
// endpoint. Ties are broken by a hash of endpoint and entry, so that the
// credits of endpoints with a single slot are distributed over the entries.
func (l *Ledger) entryWithFewestCredits(ep *endpointState) oleandervalve.EntryID {
	best := l.entryIDs[0]
	for _, e := range l.entryIDs[1:] {
		a, b := len(ep.held[e]), len(ep.held[best])
		if a < b || (a == b && tieBreakHash(ep.announced.Endpoint, e) < tieBreakHash(ep.announced.Endpoint, best)) {
			best = e
		}
	}
	return best
}

func tieBreakHash(id oleandervalve.EndpointID, e oleandervalve.EntryID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(e))
	return h.Sum32()
}

func (l *Ledger) grantCredit(now time.Time, ep *endpointState, e oleandervalve.EntryID, class oleandervalve.ClassName, out []Grant) []Grant {
	h := heldCredit{class: class, sentAt: now}
	if class != "" {
		h.charge = l.sharesOf(ep.announced.Service).Take(now, class, l.serviceCapacity(ep.announced.Service))
	}
	ep.held[e] = append(ep.held[e], h)
	ep.outstanding++
	for i := range out {
		if g := &out[i]; g.Entry == e && g.Endpoint == ep.announced.Endpoint && g.Class == class && g.Count > 0 {
			g.Count++
			return out
		}
	}
	return append(out, Grant{
		Entry: e, Epoch: l.entries[e].epoch, Endpoint: ep.announced.Endpoint,
		Class: class, Count: 1, ValidFor: CreditValidity,
	})
}

// Revokes returns the revocations to send: for all credits of a leaving
// endpoint, for credits beyond a reduced capacity, for credits of entries
// without demand while others wait, and for credits above an even share while
// another entry has fewer.
func (l *Ledger) Revokes(now time.Time) []Revoke {
	out := l.pendingRevokes
	l.pendingRevokes = nil
	if l.draining {
		return out
	}
	for _, ep := range l.sortedEndpoints {
		if ep.leaving || ep.outstanding == 0 {
			continue
		}
		s := ep.announced.Service
		_, claims := l.claims(s)
		excess := ep.inUse + ep.outstanding - ep.capacity()
		wanted := max(0, excess)
		for _, list := range claims {
			for _, c := range list {
				wanted += c.unmet
			}
		}
		evenShare := (ep.outstanding + len(l.entryIDs) - 1) / len(l.entryIDs)
		for _, e := range l.entryIDs {
			n := len(ep.held[e])
			if at, pending := ep.revokedAt[e]; pending && now.Sub(at) < revokeRetryInterval {
				wanted -= n
				continue
			}
			count := 0
			switch {
			case wanted > 0 && (excess > 0 || !l.hasDemand(s, e)):
				count = min(wanted, n)
			case wanted <= 0 && l.isUnbalanced(ep):
				count = max(0, n-evenShare)
			}
			if count == 0 {
				continue
			}
			wanted -= count
			ep.revokedAt[e] = now
			out = append(out, Revoke{Entry: e, Epoch: l.entries[e].epoch, Endpoint: ep.announced.Endpoint, Count: count})
		}
	}
	return out
}

// hasDemand reports whether an entry has demand for a service.
func (l *Ledger) hasDemand(s oleandervalve.ServiceName, e oleandervalve.EntryID) bool {
	for _, d := range l.entries[e].demand {
		if d.Service == s && d.Waiting > 0 {
			return true
		}
	}
	return false
}

// isUnbalanced reports whether an entry holds at least two credits fewer than
// another.
func (l *Ledger) isUnbalanced(ep *endpointState) bool {
	low, high := len(ep.held[l.entryIDs[0]]), 0
	for _, e := range l.entryIDs {
		low, high = min(low, len(ep.held[e])), max(high, len(ep.held[e]))
	}
	return high-low >= 2
}
