package operatorhttp

import (
	"context"
	"sort"
	"strings"

	"oleandervalve"
)

// memTable is a table in memory. fault decides the fate of each call: "" works,
// "down" is refused, "lostAfter" commits and loses the answer, "late" commits
// when the test says so, after its answer was lost.
type memTable struct {
	clock   oleandervalve.Clock
	rows    map[oleandervalve.Key]oleandervalve.Row
	fault   func(call string) string
	late    []oleandervalve.Transaction
	commits int
	// onScan runs once, after that many scans.
	onScan      func()
	onScanAfter int
	pageMax     int
}

func newMemTable(c oleandervalve.Clock) *memTable {
	return &memTable{clock: c, rows: map[oleandervalve.Key]oleandervalve.Row{}, fault: func(string) string { return "" }, pageMax: 1000}
}

func (t *memTable) down(call string) error {
	if t.fault(call) != "" {
		return &oleandervalve.UnavailableError{Service: "table", Remedy: "try again"}
	}
	return nil
}

func (t *memTable) Get(_ context.Context, keys ...oleandervalve.Key) ([]oleandervalve.Row, error) {
	if err := t.down("get"); err != nil {
		return nil, err
	}
	out := make([]oleandervalve.Row, len(keys))
	for i, k := range keys {
		out[i] = t.rows[k]
		out[i].Key = k
	}
	return out, nil
}

func (t *memTable) Scan(_ context.Context, prefix, after oleandervalve.Key, limit int) (oleandervalve.Page, error) {
	if err := t.down("scan"); err != nil {
		return oleandervalve.Page{}, err
	}
	var p oleandervalve.Page
	for k, r := range t.rows {
		if strings.HasPrefix(string(k), string(prefix)) && k > after {
			p.Rows = append(p.Rows, r)
		}
	}
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	if limit = min(limit, t.pageMax); len(p.Rows) > limit {
		p.Rows = p.Rows[:limit]
		p.Next = p.Rows[limit-1].Key
	}
	if t.onScanAfter--; t.onScan != nil && t.onScanAfter < 0 {
		f := t.onScan
		t.onScan = nil
		f()
	}
	return p, nil
}

func (t *memTable) Commit(_ context.Context, x oleandervalve.Transaction) (oleandervalve.Committed, error) {
	fate := t.fault("commit")
	if fate == "down" {
		return oleandervalve.Committed{}, &oleandervalve.UnavailableError{Service: "table", Remedy: "try again"}
	}
	lost := &oleandervalve.UnknownOutcomeError{Operation: "commit", Remedy: "read back"}
	if fate == "late" {
		t.late = append(t.late, x)
		return oleandervalve.Committed{}, lost
	}
	c, err := t.apply(x)
	if fate == "lostAfter" {
		return oleandervalve.Committed{}, lost
	}
	return c, err
}

func (t *memTable) apply(x oleandervalve.Transaction) (oleandervalve.Committed, error) {
	for _, c := range x.Conditions {
		if r := t.rows[c.Key]; r.Version != c.Version {
			return oleandervalve.Committed{}, &oleandervalve.ConflictError{Key: c.Key, Expected: c.Version, Current: r}
		}
	}
	t.commits++
	for _, p := range x.Puts {
		t.rows[p.Key] = oleandervalve.Row{Key: p.Key, Value: p.Value, Version: t.rows[p.Key].Version + 1, MutationID: x.ID, WrittenAt: t.clock.Now()}
	}
	for _, k := range x.Deletes {
		delete(t.rows, k)
	}
	return oleandervalve.Committed{At: t.clock.Now()}, nil
}
