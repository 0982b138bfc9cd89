package evacuation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"oleandervalve"
)

// View is what is known of the operators' rows at one time.
type View struct {
	// DataCentres are the evacuated data centres, sorted.
	DataCentres []oleandervalve.DataCentreID
	// Version is the version of the table up to which changes are included.
	Version oleandervalve.Version
	// AsOf is a time up to which all changes are certainly included; zero if the rows have not been
	// read yet.
	AsOf oleandervalve.Instant
}

// Merge returns what two views of the same rows tell together. The one of the later version
// includes all changes of the other one, so the later of the two times holds for it.
func (v View) Merge(other View) View {
	out := v
	if other.Version > v.Version || v.AsOf.IsZero() {
		out = other
	}
	out.AsOf = v.AsOf
	if v.AsOf.IsZero() || other.AsOf.After(v.AsOf) {
		out.AsOf = other.AsOf
	}
	return out
}

// Has reports whether a data centre is evacuated.
func (v View) Has(id oleandervalve.DataCentreID) bool {
	_, ok := slices.BinarySearch(v.DataCentres, id)
	return ok
}

// Tracker follows the rows that request evacuations. It is not safe for concurrent use.
type Tracker struct {
	prefix oleandervalve.Key
	rows   map[oleandervalve.DataCentreID]bool
	// newest holds the version of the newest change of each row that has changed since the last read.
	newest  map[oleandervalve.DataCentreID]oleandervalve.Version
	version oleandervalve.Version
	asOf    oleandervalve.Instant
}

// NewTracker returns a tracker of the rows whose keys are the prefix and the name of a data centre.
func NewTracker(prefix oleandervalve.Key) *Tracker {
	return &Tracker{prefix: prefix, rows: map[oleandervalve.DataCentreID]bool{}, newest: map[oleandervalve.DataCentreID]oleandervalve.Version{}}
}

// dataCentre returns the data centre that a row is about, or false if the row is another one.
func (t *Tracker) dataCentre(k oleandervalve.Key) (oleandervalve.DataCentreID, bool) {
	name, ok := strings.CutPrefix(string(k), string(t.prefix))
	return oleandervalve.DataCentreID(name), ok && name != ""
}

// Read replaces what is known by the rows of a read that was sent at a time. A row that is missing
// counts as withdrawn. The values are not interpreted, so a row that can't be decoded counts too.
func (t *Tracker) Read(sent oleandervalve.Instant, v oleandervalve.Version, rows []oleandervalve.Row) {
	clear(t.rows)
	clear(t.newest)
	for _, r := range rows {
		if id, ok := t.dataCentre(r.Key); ok {
			t.rows[id] = true
		}
	}
	t.version = v
	t.advance(sent)
}

// Watched applies the answer to a Watch that was sent at a time with a wait, and answered at another.
func (t *Tracker) Watched(sent, answered oleandervalve.Instant, wait time.Duration, c oleandervalve.Changes) {
	for _, r := range c.Rows {
		id, ok := t.dataCentre(r.Key)
		if !ok || r.Version < t.newest[id] {
			continue
		}
		t.newest[id] = r.Version
		if r.Deleted {
			delete(t.rows, id)
		} else {
			t.rows[id] = true
		}
	}
	t.version = max(t.version, c.Next)
	t.advance(AsOf(sent, answered, wait, len(c.Rows) > 0))
}

func (t *Tracker) advance(at oleandervalve.Instant) {
	if t.asOf.IsZero() || at.After(t.asOf) {
		t.asOf = at
	}
}

// View returns what is known.
func (t *Tracker) View() View {
	return View{DataCentres: slices.Sorted(maps.Keys(t.rows)), Version: t.version, AsOf: t.asOf}
}

// earlyPercent is the share of the requested wait before which an answer without rows does not show
// that the table has waited. Clocks differ by 2%.
const earlyPercent = 95

// AsOf returns the time up to which the answer to a Watch certainly includes all changes. An answer
// with rows may have been under way for all of the time since the call. One without shows that there
// was no change while the table waited; if it comes before that, the table has waited for less, and it
// is treated like one with rows.
func AsOf(sent, answered oleandervalve.Instant, wait time.Duration, hasRows bool) oleandervalve.Instant {
	took := answered.Sub(sent)
	if hasRows || took < wait*earlyPercent/100 {
		return sent
	}
	return sent.Add(min(wait, took))
}

const (
	// pingInterval is the time between two pings of an agent, whose answers tell the age of the view.
	pingInterval = 700 * time.Millisecond
	// callMargin is the time that the calls to the table and the pings themselves may take.
	callMargin = 600 * time.Millisecond
	// MinWatchWait is the shortest time for which the table holds a Watch. It limits the rate of calls to
	// the table.
	MinWatchWait = 200 * time.Millisecond
)

// WatchWait returns for how long the table may hold a Watch so that views don't become so old in normal
// operation that starts wait, given the age from which on they do.
func WatchWait(maxAge, longest time.Duration) time.Duration {
	return min(max(maxAge-pingInterval-callMargin, MinWatchWait), longest)
}
