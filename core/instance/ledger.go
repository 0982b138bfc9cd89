package instance

import (
	"sort"
	"time"

	"oleandervalve"
)

const (
	// CreditValidity is how long a granted credit may be used.
	CreditValidity = 2 * time.Second
	// AnnounceEvery is the interval of an endpoint's announcements.
	AnnounceEvery = time.Second
	// MissedAnnouncements is how many may be missed before an endpoint counts as leaving.
	MissedAnnouncements = 3
)

// ClassDemand counts the requests that wait at one entry.
type ClassDemand struct {
	Service oleandervalve.ServiceName
	Class   oleandervalve.ClassName
	Waiting int
}

// Grant gives credits to an entry.
type Grant struct {
	Entry    oleandervalve.EntryID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	Class    oleandervalve.ClassName
	Count    int
	ValidFor time.Duration
}

// Admission asks for a slot for one request.
type Admission struct {
	ID       oleandervalve.RequestID
	Entry    oleandervalve.EntryID
	Epoch    oleandervalve.ConnectionEpoch
	Endpoint oleandervalve.EndpointID
	Class    oleandervalve.ClassName
	Deadline time.Time
}

// Endpoint is the ledger's view of one announced endpoint.
type Endpoint struct {
	oleandervalve.Announcement
	Leaving bool
	InUse   int
}

type requestKey struct {
	entry oleandervalve.EntryID
	epoch oleandervalve.ConnectionEpoch
	id    oleandervalve.RequestID
}

type endpointEntry struct {
	announced oleandervalve.Announcement
	lastHeard time.Time
	leaving   bool
	inUse     int
	// credits holds the expiry times of unused credits by entry.
	credits map[oleandervalve.EntryID][]time.Time
}

type entryView struct {
	epoch  oleandervalve.ConnectionEpoch
	demand []ClassDemand
}

// Ledger accounts for what one instance holds.
type Ledger struct {
	endpoints map[oleandervalve.EndpointID]*endpointEntry
	entries   map[oleandervalve.EntryID]*entryView
	running   map[requestKey]oleandervalve.EndpointID
	draining  bool
}

// NewLedger returns the ledger of an instance with no endpoints.
func NewLedger() *Ledger {
	return &Ledger{
		endpoints: map[oleandervalve.EndpointID]*endpointEntry{},
		entries:   map[oleandervalve.EntryID]*entryView{},
		running:   map[requestKey]oleandervalve.EndpointID{},
	}
}

// Announce records an endpoint's announcement.
func (l *Ledger) Announce(now time.Time, a oleandervalve.Announcement) error {
	if a.Slots <= 0 {
		return &oleandervalve.InvalidError{Field: "slots", Value: "0", Remedy: "announce at least one slot"}
	}
	x := l.endpoints[a.Endpoint]
	if x == nil {
		x = &endpointEntry{credits: map[oleandervalve.EntryID][]time.Time{}}
		l.endpoints[a.Endpoint] = x
	}
	x.announced, x.lastHeard = a, now
	return nil
}

// Leave marks an endpoint as leaving: it finishes its requests and gets no new ones.
func (l *Ledger) Leave(_ time.Time, id oleandervalve.EndpointID) {
	if x := l.endpoints[id]; x != nil {
		x.leaving = true
		x.credits = map[oleandervalve.EntryID][]time.Time{}
	}
}

// Connect records an entry's connection.
func (l *Ledger) Connect(_ time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch) {
	l.dropCredits(e)
	l.entries[e] = &entryView{epoch: c}
}

// Disconnect forgets an entry's connection and takes its unused credits back.
func (l *Ledger) Disconnect(e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch) {
	if v := l.entries[e]; v != nil && v.epoch == c {
		delete(l.entries, e)
		l.dropCredits(e)
	}
}

func (l *Ledger) dropCredits(e oleandervalve.EntryID) {
	for _, x := range l.endpoints {
		delete(x.credits, e)
	}
}

// Demand records what waits at an entry.
func (l *Ledger) Demand(_ time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch, d []ClassDemand) {
	if v := l.entries[e]; v != nil && v.epoch == c {
		v.demand = d
	}
}

// Return takes unused credits back from an entry.
func (l *Ledger) Return(e oleandervalve.EntryID, id oleandervalve.EndpointID, count int) {
	if x := l.endpoints[id]; x != nil {
		x.credits[e] = x.credits[e][min(count, len(x.credits[e])):]
	}
}

// Admit takes a slot for a request or refuses with a *oleandervalve.NotRunError.
func (l *Ledger) Admit(now time.Time, a Admission) error {
	x := l.endpoints[a.Endpoint]
	k := requestKey{a.Entry, a.Epoch, a.ID}
	switch {
	case x == nil || x.leaving || l.draining:
		return &oleandervalve.NotRunError{Reason: "endpointLeaving", Remedy: "send the request to another endpoint"}
	case !a.Deadline.After(now):
		return &oleandervalve.NotRunError{Reason: "deadlinePassed", Remedy: "send the request with a longer timeout"}
	case l.running[k] != "":
		return &oleandervalve.NotRunError{Reason: "duplicateRequest", Remedy: "the first copy of this request is being served"}
	case x.inUse >= x.announced.Slots:
		return &oleandervalve.NotRunError{Reason: "noSlot", Remedy: "wait for a credit"}
	}
	if c := x.credits[a.Entry]; len(c) > 0 {
		x.credits[a.Entry] = c[1:]
	}
	x.inUse++
	l.running[k] = a.Endpoint
	return nil
}

// Finish frees the slot of an admitted request.
func (l *Ledger) Finish(_ time.Time, e oleandervalve.EntryID, c oleandervalve.ConnectionEpoch, id oleandervalve.RequestID) {
	k := requestKey{e, c, id}
	x := l.endpoints[l.running[k]]
	if x == nil {
		return
	}
	delete(l.running, k)
	x.inUse--
	if x.leaving && x.inUse == 0 {
		delete(l.endpoints, x.announced.Endpoint)
	}
}

// Grants hands free slots out as credits.
func (l *Ledger) Grants(now time.Time) []Grant {
	if l.draining || len(l.entries) == 0 {
		return nil
	}
	ids := make([]oleandervalve.EntryID, 0, len(l.entries))
	for e := range l.entries {
		ids = append(ids, e)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	var out []Grant
	for _, x := range l.sorted() {
		free := x.announced.Slots - x.inUse - x.outstanding(now)
		for i := 0; free > 0; i++ {
			e := ids[i%len(ids)]
			share := (free + len(ids) - 1 - i%len(ids)) / len(ids)
			share = max(share, 1)
			out = append(out, Grant{Entry: e, Epoch: l.entries[e].epoch, Endpoint: x.announced.Endpoint, Count: share, ValidFor: CreditValidity})
			for range share {
				x.credits[e] = append(x.credits[e], now.Add(CreditValidity))
			}
			free -= share
		}
	}
	return out
}

func (x *endpointEntry) outstanding(now time.Time) int {
	n := 0
	for e, c := range x.credits {
		for len(c) > 0 && !c[0].After(now) {
			c = c[1:]
		}
		x.credits[e] = c
		n += len(c)
	}
	return n
}

func (l *Ledger) sorted() []*endpointEntry {
	var out []*endpointEntry
	for _, x := range l.endpoints {
		if !x.leaving {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].announced.Endpoint < out[j].announced.Endpoint })
	return out
}

// Tick marks endpoints that stopped announcing as leaving.
func (l *Ledger) Tick(now time.Time) {
	for id, x := range l.endpoints {
		if !x.leaving && now.Sub(x.lastHeard) > MissedAnnouncements*AnnounceEvery {
			l.Leave(now, id)
		}
	}
}

// Endpoints lists the endpoints in the order of their ids.
func (l *Ledger) Endpoints() []Endpoint {
	var out []Endpoint
	for _, x := range l.endpoints {
		out = append(out, Endpoint{Announcement: x.announced, Leaving: x.leaving, InUse: x.inUse})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

// Drain stops all new work at the instance.
func (l *Ledger) Drain() { l.draining = true }

// Idle reports whether no admitted request is left.
func (l *Ledger) Idle() bool { return len(l.running) == 0 }
