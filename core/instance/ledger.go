package instance

import (
	"sort"
	"strconv"
	"time"

	"oleandervalve"
	"oleandervalve/core/credit"
)

const (
	// AnnounceInterval is the interval between the announcements of an
	// endpoint.
	AnnounceInterval = time.Second
	// MaxMissedAnnouncements is how many announcements may be missed before an
	// endpoint is marked as leaving.
	MaxMissedAnnouncements = 3
	// leaveCooldown is how long announcements of an endpoint that asked to leave are
	// ignored, so that an announcement reordered after the DELETE doesn't add
	// the endpoint again.
	leaveCooldown = AnnounceInterval
)

// Endpoint is the ledger's record of one announced endpoint.
type Endpoint struct {
	oleandervalve.Announcement
	Leaving bool
	InUse   int
	// Credits counts the unused credits of all entries.
	Credits int
}

type endpointState struct {
	announced     oleandervalve.Announcement
	lastAnnounced time.Time
	leaving       bool
	leavingSince  time.Time
	// leaveRequested is set if the endpoint asked to leave, and unset if its
	// announcements were missed.
	leaveRequested bool
	inUse          int
	// closingConnections counts open connections without an admitted request.
	closingConnections int
	held               map[oleandervalve.EntryID][]heldCredit
	// outstanding counts the credits held by all entries.
	outstanding int
	// revokedAt holds the time of each entry's unanswered revocation.
	revokedAt map[oleandervalve.EntryID]time.Time
}

// capacity is the number of requests that the endpoint can serve at once.
func (ep *endpointState) capacity() int {
	return max(0, min(ep.announced.Slots, ep.announced.Connections-ep.closingConnections))
}

// freeSlots counts the slots that no request or credit takes.
func (ep *endpointState) freeSlots() int {
	if ep.leaving {
		return 0
	}
	return max(0, ep.capacity()-ep.inUse-ep.outstanding)
}

type entryState struct {
	epoch  oleandervalve.ConnectionEpoch
	demand []ClassDemand
}

// Ledger accounts for the capacity of one instance and for what requests,
// credits and tasks hold of it.
type Ledger struct {
	endpoints map[oleandervalve.EndpointID]*endpointState
	// sortedEndpoints holds the endpoints sorted by id, entryIDs the sorted ids
	// of the connected entries.
	sortedEndpoints []*endpointState
	entryIDs        []oleandervalve.EntryID
	entries         map[oleandervalve.EntryID]*entryState
	shares          map[oleandervalve.ServiceName]*credit.Shares
	requests        requestLog
	draining        bool
	// pendingRevokes holds the revocations for leaving endpoints until the next
	// call of Revokes.
	pendingRevokes []Revoke
	worker         reservations
}

// NewLedger returns the ledger of an instance with no endpoints and no worker.
func NewLedger() *Ledger {
	return &Ledger{
		endpoints: map[oleandervalve.EndpointID]*endpointState{},
		entries:   map[oleandervalve.EntryID]*entryState{},
		shares:    map[oleandervalve.ServiceName]*credit.Shares{},
		requests:  newRequestLog(),
		worker:    newReservations(),
	}
}

// Configure replaces the class shares of one service.
func (l *Ledger) Configure(s oleandervalve.ServiceName, list []credit.ClassShare) {
	l.sharesOf(s).Configure(list)
}

func (l *Ledger) sharesOf(s oleandervalve.ServiceName) *credit.Shares {
	shares := l.shares[s]
	if shares == nil {
		shares = credit.NewShares()
		l.shares[s] = shares
	}
	return shares
}

// serviceCapacity is the number of requests that the ready endpoints of a
// service can serve at once at this instance.
func (l *Ledger) serviceCapacity(s oleandervalve.ServiceName) int {
	n := 0
	for _, ep := range l.sortedEndpoints {
		if ep.announced.Service == s && !ep.leaving {
			n += ep.capacity()
		}
	}
	return n
}

// Announce records an announcement of an endpoint. It returns a
// *oleandervalve.InvalidError if the announcement is invalid.
func (l *Ledger) Announce(now time.Time, a oleandervalve.Announcement) error {
	if a.Slots <= 0 {
		return &oleandervalve.InvalidError{Field: "slots", Value: strconv.Itoa(a.Slots), Remedy: "announce at least one slot"}
	}
	if a.Connections <= 0 {
		return &oleandervalve.InvalidError{Field: "connections", Value: strconv.Itoa(a.Connections), Remedy: "announce at least one connection"}
	}
	ep := l.endpoints[a.Endpoint]
	if ep == nil {
		ep = &endpointState{
			held:      map[oleandervalve.EntryID][]heldCredit{},
			revokedAt: map[oleandervalve.EntryID]time.Time{},
		}
		ep.announced = a
		l.endpoints[a.Endpoint] = ep
		l.sortEndpoints()
	}
	if ep.announced.Service != a.Service && (ep.inUse > 0 || ep.outstanding > 0) {
		return &oleandervalve.InvalidError{
			Field: "service", Value: string(a.Service),
			Remedy: "leave and finish the requests of service " + string(ep.announced.Service) + " first",
		}
	}
	if ep.leaving {
		if ep.leaveRequested && now.Sub(ep.leavingSince) < leaveCooldown {
			return nil
		}
		ep.leaving, ep.leaveRequested = false, false
	}
	ep.announced, ep.lastAnnounced = a, now
	return nil
}

func (l *Ledger) sortEndpoints() {
	l.sortedEndpoints = l.sortedEndpoints[:0]
	for _, ep := range l.endpoints {
		l.sortedEndpoints = append(l.sortedEndpoints, ep)
	}
	sort.Slice(l.sortedEndpoints, func(i, j int) bool {
		return l.sortedEndpoints[i].announced.Endpoint < l.sortedEndpoints[j].announced.Endpoint
	})
}

// SetClosing sets the number of open connections to an endpoint that have no
// admitted request, such as those of cancelled requests that are still closing.
func (l *Ledger) SetClosing(id oleandervalve.EndpointID, n int) {
	if ep := l.endpoints[id]; ep != nil {
		ep.closingConnections = max(0, n)
	}
}

// Leave marks an endpoint as leaving: it finishes its requests and gets no new ones.
func (l *Ledger) Leave(now time.Time, id oleandervalve.EndpointID) {
	if ep := l.endpoints[id]; ep != nil {
		ep.leaveRequested = true
		l.markLeaving(now, ep)
	}
}

// markLeaving marks an endpoint as leaving and revokes all credits for it.
func (l *Ledger) markLeaving(now time.Time, ep *endpointState) {
	ep.leaving, ep.leavingSince = true, now
	for _, e := range l.entryIDs {
		if n := len(ep.held[e]); n > 0 {
			l.pendingRevokes = append(l.pendingRevokes, Revoke{Entry: e, Epoch: l.entries[e].epoch, Endpoint: ep.announced.Endpoint, Count: n})
			l.dropCredits(now, ep, e, n)
		}
	}
}

// checkAnnounced marks an endpoint as leaving if its announcements have stopped.
func (l *Ledger) checkAnnounced(now time.Time, ep *endpointState) {
	if !ep.leaving && now.Sub(ep.lastAnnounced) > MaxMissedAnnouncements*AnnounceInterval {
		l.markLeaving(now, ep)
	}
}

// Connect records an entry's connection, which replaces an older one.
func (l *Ledger) Connect(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch) {
	if entry := l.entries[e]; entry != nil {
		if entry.epoch == c {
			return
		}
		l.Disconnect(now, e, entry.epoch)
	}
	l.entries[e] = &entryState{epoch: c}
	l.sortEntries()
}

// Disconnect removes an entry's connection and drops its unused credits. It
// returns the entry's requests that had not begun; these will not run.
func (l *Ledger) Disconnect(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch) []oleandervalve.RequestID {
	entry := l.entries[e]
	if entry == nil || entry.epoch != c {
		return nil
	}
	for _, ep := range l.sortedEndpoints {
		l.dropCredits(now, ep, e, len(ep.held[e]))
		delete(ep.held, e)
		delete(ep.revokedAt, e)
	}
	delete(l.entries, e)
	l.sortEntries()
	var out []oleandervalve.RequestID
	for k, r := range l.requests.running {
		if k.entry == e && k.epoch == c && !r.begun {
			out = append(out, k.id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	for _, id := range out {
		l.complete(now, requestKey{e, c, id}, false)
	}
	return out
}

func (l *Ledger) sortEntries() {
	l.entryIDs = l.entryIDs[:0]
	for e := range l.entries {
		l.entryIDs = append(l.entryIDs, e)
	}
	sort.Slice(l.entryIDs, func(i, j int) bool { return l.entryIDs[i] < l.entryIDs[j] })
}

// Tick marks endpoints whose announcements stopped as leaving and removes those
// that have left. It drops credits past their validity and margin, and discards
// old records of completed requests and released tasks.
func (l *Ledger) Tick(now time.Time) {
	removed := false
	for _, ep := range l.sortedEndpoints {
		l.checkAnnounced(now, ep)
		if ep.leaving && ep.inUse == 0 && now.Sub(ep.leavingSince) > leaveCooldown {
			delete(l.endpoints, ep.announced.Endpoint)
			removed = true
		}
		l.dropExpired(now, ep)
	}
	if removed {
		l.sortEndpoints()
	}
	l.requests.discardOld(now)
	l.worker.discardOld(now)
}

// Endpoints lists the endpoints sorted by id.
func (l *Ledger) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(l.sortedEndpoints))
	for _, ep := range l.sortedEndpoints {
		out = append(out, Endpoint{
			Announcement: ep.announced, Leaving: ep.leaving || l.draining,
			InUse: ep.inUse, Credits: ep.outstanding,
		})
	}
	return out
}

// Drain makes the instance accept no new work and revokes all credits.
func (l *Ledger) Drain(now time.Time) {
	l.draining = true
	for _, ep := range l.sortedEndpoints {
		if !ep.leaving {
			l.markLeaving(now, ep)
		}
	}
}

// Draining reports whether the instance accepts no new work.
func (l *Ledger) Draining() bool { return l.draining }

// Idle reports whether no admitted request is unfinished.
func (l *Ledger) Idle() bool { return len(l.requests.running) == 0 }

// EndpointIdle reports whether an endpoint has no unfinished admitted request.
func (l *Ledger) EndpointIdle(id oleandervalve.EndpointID) bool {
	ep := l.endpoints[id]
	return ep == nil || ep.inUse == 0
}
