package operatorhttp

import (
	"context"
	"sort"
	"strings"

	"oleandervalve"
)

// memTable is an in-memory table with fault injection. fault returns the fault of
// each call: "" is none, "down" fails without effect, "lostAfter" commits but loses
// the answer, and "late" loses the answer and adds the transaction to delayed,
// from where the test applies it later.
type memTable struct {
	clock   oleandervalve.Clock
	rows    map[oleandervalve.Key]oleandervalve.Row
	fault   func(call string) string
	delayed []oleandervalve.Transaction
	commits int
	// onScan runs once, in the first scan after onScanAfter others.
	onScan      func()
	onScanAfter int
	pageMax     int
}

func newMemTable(c oleandervalve.Clock) *memTable {
	return &memTable{clock: c, rows: map[oleandervalve.Key]oleandervalve.Row{}, fault: func(string) string { return "" }, pageMax: 1000}
}

func (t *memTable) checkFault(call string) error {
	if t.fault(call) != "" {
		return &oleandervalve.UnavailableError{Service: "table", Remedy: "try again"}
	}
	return nil
}

func (t *memTable) Get(_ context.Context, keys ...oleandervalve.Key) ([]oleandervalve.Row, error) {
	if err := t.checkFault("get"); err != nil {
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
	if err := t.checkFault("scan"); err != nil {
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
	commitFault := t.fault("commit")
	if commitFault == "down" {
		return oleandervalve.Committed{}, &oleandervalve.UnavailableError{Service: "table", Remedy: "try again"}
	}
	unknownOutcome := &oleandervalve.UnknownOutcomeError{Operation: "commit", Remedy: "read back"}
	if commitFault == "late" {
		t.delayed = append(t.delayed, x)
		return oleandervalve.Committed{}, unknownOutcome
	}
	c, err := t.apply(x)
	if commitFault == "lostAfter" {
		return oleandervalve.Committed{}, unknownOutcome
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
