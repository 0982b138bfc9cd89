package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/gorilla/mux"

	"oleandervalve"
	"oleandervalve/io/tablehttp"
)

// Table is the stand-in of the transactional table service.
type Table struct {
	// Faults are the faults injected into calls.
	Faults *Faults

	clock oleandervalve.Clock
	mu    sync.Mutex
	rows  map[oleandervalve.Key]oleandervalve.Row
	// versions keeps the entries of deleted rows, so that no version is reused.
	versions map[oleandervalve.Key]oleandervalve.Version
	reads    int
	writes   int
}

// NewTable returns an empty table.
func NewTable(clock oleandervalve.Clock, seed uint64) *Table {
	return &Table{clock: clock, Faults: NewFaults(seed), rows: map[oleandervalve.Key]oleandervalve.Row{}, versions: map[oleandervalve.Key]oleandervalve.Version{}}
}

// Operations returns the number of rows read and written so far.
func (t *Table) Operations() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Handler serves the table over HTTP.
func (t *Table) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/faults", t.Faults.serveFaults).Methods(http.MethodPut)
	m.HandleFunc("/v1/get", func(w http.ResponseWriter, r *http.Request) {
		var q tablehttp.GetRequest
		if decode(w, r, &q) {
			t.Faults.serveWithFault(w, r, "get", func() (int, any) { return http.StatusOK, t.get(q.Keys) })
		}
	}).Methods(http.MethodPost)
	m.HandleFunc("/v1/scan", func(w http.ResponseWriter, r *http.Request) {
		var q tablehttp.ScanRequest
		if decode(w, r, &q) {
			t.Faults.serveWithFault(w, r, "scan", func() (int, any) { return http.StatusOK, t.scan(q) })
		}
	}).Methods(http.MethodPost)
	m.HandleFunc("/v1/commit", func(w http.ResponseWriter, r *http.Request) {
		var q oleandervalve.Transaction
		if decode(w, r, &q) {
			t.Faults.serveWithFault(w, r, "commit", func() (int, any) { return t.commit(q) })
		}
	}).Methods(http.MethodPost)
	return m
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20)).Decode(into); err != nil {
		http.Error(w, "request is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (t *Table) get(keys []oleandervalve.Key) tablehttp.GetResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := tablehttp.GetResponse{Rows: make([]oleandervalve.Row, 0, len(keys))}
	for _, k := range keys {
		r := t.rows[k]
		r.Key = k
		out.Rows = append(out.Rows, r)
	}
	t.reads += len(keys)
	return out
}

func (t *Table) scan(q tablehttp.ScanRequest) oleandervalve.Page {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := oleandervalve.Page{At: t.clock.Now(), Rows: []oleandervalve.Row{}}
	for k, r := range t.rows {
		if strings.HasPrefix(string(k), string(q.Prefix)) && k > q.After {
			p.Rows = append(p.Rows, r)
		}
	}
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	if q.Limit > 0 && len(p.Rows) > q.Limit {
		p.Rows = p.Rows[:q.Limit]
		p.Next = p.Rows[q.Limit-1].Key
	}
	t.reads += len(p.Rows) + 1
	return p
}

func (t *Table) commit(q oleandervalve.Transaction) (int, any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, c := range q.Conditions {
		r := t.rows[c.Key]
		r.Key = c.Key
		if r.Version != c.Version || (c.UnwrittenFor > 0 && now.Sub(r.WrittenAt) < c.UnwrittenFor) {
			return http.StatusConflict, tablehttp.Conflict{Key: c.Key, Expected: c.Version, Current: r}
		}
	}
	out := oleandervalve.Committed{At: now, Versions: make([]oleandervalve.Version, 0, len(q.Puts))}
	for _, p := range q.Puts {
		t.versions[p.Key]++
		v := t.versions[p.Key]
		t.rows[p.Key] = oleandervalve.Row{Key: p.Key, Value: p.Value, Version: v, MutationID: q.ID, WrittenAt: now}
		out.Versions = append(out.Versions, v)
	}
	for _, k := range q.Deletes {
		delete(t.rows, k)
	}
	t.writes += len(q.Puts) + len(q.Deletes)
	return http.StatusOK, out
}
