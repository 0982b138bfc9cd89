package instance

import (
	"sort"
	"strconv"
	"time"

	"oleandervalve"
	"oleandervalve/core/credit"
)

const (
	// AnnounceEvery is the interval of an endpoint's announcements.
	AnnounceEvery = time.Second
	// MissedAnnouncements is how many may be missed before an endpoint counts as leaving.
	MissedAnnouncements = 3
	// leaveQuarantine is how long announcements of an endpoint that left are
	// ignored, so that one that was overtaken by DELETE doesn't bring it back.
	leaveQuarantine = AnnounceEvery
)

// Endpoint is the ledger's view of one announced endpoint.
type Endpoint struct {
	oleandervalve.Announcement
	Leaving bool
	InUse   int
	// Credits counts the unused credits of all entries.
	Credits int
}

type endpointState struct {
	announced oleandervalve.Announcement
	lastHeard time.Time
	leaving   bool
	leftAt    time.Time
	// deleted tells an explicit leave from missed announcements.
	deleted bool
	inUse   int
	// closing counts connections that are open without an admitted request.
	closing int
	held    map[oleandervalve.EntryID][]heldCredit
	// outstanding counts the credits held by all entries.
	outstanding int
	revoking    map[oleandervalve.EntryID]time.Time
}

// capacity is the number of requests that the endpoint may serve at once.
func (x *endpointState) capacity() int {
	return max(0, min(x.announced.Slots, x.announced.Connections-x.closing))
}

func (x *endpointState) free() int {
	if x.leaving {
		return 0
	}
	return max(0, x.capacity()-x.inUse-x.outstanding)
}

type entryView struct {
	epoch  oleandervalve.ConnectionEpoch
	demand []ClassDemand
}

// Ledger accounts for what one instance holds.
type Ledger struct {
	endpoints map[oleandervalve.EndpointID]*endpointState
	// order lists the endpoints by id and entryIDs the connected entries.
	order    []*endpointState
	entryIDs []oleandervalve.EntryID
	entries  map[oleandervalve.EntryID]*entryView
	shares   map[oleandervalve.ServiceName]*credit.Shares
	requests requestLog
	draining bool
	drained  []Revoke
	worker   reservations
}

// NewLedger returns the ledger of an instance with no endpoints and no worker.
func NewLedger() *Ledger {
	return &Ledger{
		endpoints: map[oleandervalve.EndpointID]*endpointState{},
		entries:   map[oleandervalve.EntryID]*entryView{},
		shares:    map[oleandervalve.ServiceName]*credit.Shares{},
		requests:  newRequestLog(),
		worker:    newReservations(),
	}
}

// Configure replaces the shares of the classes of one service.
func (l *Ledger) Configure(s oleandervalve.ServiceName, list []credit.ClassShare) {
	l.service(s).Configure(list)
}

func (l *Ledger) service(s oleandervalve.ServiceName) *credit.Shares {
	v := l.shares[s]
	if v == nil {
		v = credit.NewShares()
		l.shares[s] = v
	}
	return v
}

// capacity is the number of slots of a service's ready endpoints at this instance.
func (l *Ledger) capacity(s oleandervalve.ServiceName) int {
	n := 0
	for _, x := range l.order {
		if x.announced.Service == s && !x.leaving {
			n += x.capacity()
		}
	}
	return n
}

// Announce records an endpoint's announcement; *oleandervalve.InvalidError if it can't be used.
func (l *Ledger) Announce(now time.Time, a oleandervalve.Announcement) error {
	if a.Slots <= 0 {
		return &oleandervalve.InvalidError{Field: "slots", Value: strconv.Itoa(a.Slots), Remedy: "announce at least one slot"}
	}
	if a.Connections <= 0 {
		return &oleandervalve.InvalidError{Field: "connections", Value: strconv.Itoa(a.Connections), Remedy: "announce at least one connection"}
	}
	x := l.endpoints[a.Endpoint]
	if x == nil {
		x = &endpointState{
			held:     map[oleandervalve.EntryID][]heldCredit{},
			revoking: map[oleandervalve.EntryID]time.Time{},
		}
		x.announced = a
		l.endpoints[a.Endpoint] = x
		l.sortEndpoints()
	}
	if x.announced.Service != a.Service && (x.inUse > 0 || x.outstanding > 0) {
		return &oleandervalve.InvalidError{
			Field: "service", Value: string(a.Service),
			Remedy: "leave and finish the requests of service " + string(x.announced.Service) + " first",
		}
	}
	if x.leaving {
		if x.deleted && now.Sub(x.leftAt) < leaveQuarantine {
			return nil
		}
		x.leaving, x.deleted = false, false
	}
	x.announced, x.lastHeard = a, now
	return nil
}

func (l *Ledger) sortEndpoints() {
	l.order = l.order[:0]
	for _, x := range l.endpoints {
		l.order = append(l.order, x)
	}
	sort.Slice(l.order, func(i, j int) bool {
		return l.order[i].announced.Endpoint < l.order[j].announced.Endpoint
	})
}

// SetClosing tells how many connections to an endpoint are open without an
// admitted request, such as those of cancelled requests that still close.
func (l *Ledger) SetClosing(id oleandervalve.EndpointID, n int) {
	if x := l.endpoints[id]; x != nil {
		x.closing = max(0, n)
	}
}

// Leave marks an endpoint as leaving: it finishes its requests and gets no new ones.
func (l *Ledger) Leave(now time.Time, id oleandervalve.EndpointID) {
	if x := l.endpoints[id]; x != nil {
		x.deleted = true
		l.leave(now, x)
	}
}

func (l *Ledger) leave(now time.Time, x *endpointState) {
	x.leaving, x.leftAt = true, now
	for _, e := range l.entryIDs {
		if n := len(x.held[e]); n > 0 {
			l.drained = append(l.drained, Revoke{Entry: e, Epoch: l.entries[e].epoch, Endpoint: x.announced.Endpoint, Count: n})
			l.dropHeld(now, x, e, n)
		}
	}
}

// Connect records an entry's connection; it replaces an older one.
func (l *Ledger) Connect(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch) {
	if v := l.entries[e]; v != nil {
		if v.epoch == c {
			return
		}
		l.Disconnect(now, e, v.epoch)
	}
	l.entries[e] = &entryView{epoch: c}
	l.sortEntries()
}

// Disconnect forgets an entry's connection, takes its unused credits back and
// returns its requests that had not begun, which will not run.
func (l *Ledger) Disconnect(now time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch) []oleandervalve.RequestID {
	v := l.entries[e]
	if v == nil || v.epoch != c {
		return nil
	}
	for _, x := range l.order {
		l.dropHeld(now, x, e, len(x.held[e]))
		delete(x.held, e)
		delete(x.revoking, e)
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
		l.end(now, requestKey{e, c, id}, false)
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

// Tick marks endpoints that stopped announcing as leaving, forgets those that
// left and drops credits past their validity and margin.
func (l *Ledger) Tick(now time.Time) {
	removed := false
	for _, x := range l.order {
		if !x.leaving && now.Sub(x.lastHeard) > MissedAnnouncements*AnnounceEvery {
			l.leave(now, x)
		}
		if x.leaving && x.inUse == 0 && now.Sub(x.leftAt) > leaveQuarantine {
			delete(l.endpoints, x.announced.Endpoint)
			removed = true
		}
		l.expireHeld(now, x)
	}
	if removed {
		l.sortEndpoints()
	}
	l.requests.forget(now)
	l.worker.forget(now)
}

// Endpoints lists the endpoints in the order of their ids.
func (l *Ledger) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(l.order))
	for _, x := range l.order {
		out = append(out, Endpoint{
			Announcement: x.announced, Leaving: x.leaving || l.draining,
			InUse: x.inUse, Credits: x.outstanding,
		})
	}
	return out
}

// Drain stops all new work at the instance and revokes all credits.
func (l *Ledger) Drain(now time.Time) {
	l.draining = true
	for _, x := range l.order {
		if !x.leaving {
			l.leave(now, x)
		}
	}
}

// Draining reports whether the instance takes no new work.
func (l *Ledger) Draining() bool { return l.draining }

// Idle reports whether no admitted request is left.
func (l *Ledger) Idle() bool { return len(l.requests.running) == 0 }

// EndpointIdle reports whether an endpoint has no admitted request left.
func (l *Ledger) EndpointIdle(id oleandervalve.EndpointID) bool {
	x := l.endpoints[id]
	return x == nil || x.inUse == 0
}
