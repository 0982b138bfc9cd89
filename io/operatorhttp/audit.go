package operatorhttp

import (
	"context"
	"fmt"
	"time"

	"oleandervalve"
	"oleandervalve/core/operator"
)

// maxClockSkew is the largest tolerated difference between the clocks of entries.
// Audit records carry the clock time of the entry that wrote them.
const maxClockSkew = 5 * time.Minute

// Audit passes the matching records to visit in the order of their times until
// visit returns false. It merges accepted changes with the attempts that changed
// no object, which are stored under another prefix.
func (s *Store) Audit(ctx context.Context, f operator.AuditFilter, visit func(operator.Record) bool) error {
	start, err := s.revisionBefore(ctx, f.From)
	if err != nil {
		return err
	}
	accepted := &cursor{table: s.table, prefix: operator.LogPrefix, after: operator.LogKey(start)}
	attempts := &cursor{table: s.table, prefix: operator.AttemptPrefix}
	if !f.From.IsZero() {
		attempts.after = operator.AttemptPrefix + oleandervalve.Key(fmt.Sprintf("%015d", f.From.UnixMilli()))
	}
	for {
		a, err := accepted.peek(ctx)
		if err != nil {
			return err
		}
		r, err := attempts.peek(ctx)
		if err != nil {
			return err
		}
		c, next := accepted, a
		if a == nil || r != nil && r.At.Before(a.At) {
			c, next = attempts, r
		}
		if next == nil || !f.To.IsZero() && next.At.After(f.To.Add(maxClockSkew)) {
			return nil
		}
		c.pop()
		if f.Matches(*next) && !visit(next.Redacted()) {
			return nil
		}
	}
}

// revisionBefore returns a revision that was written before the given time by the
// clock of any entry, or 0. It searches the log by bisection.
func (s *Store) revisionBefore(ctx context.Context, from time.Time) (oleandervalve.Revision, error) {
	if from.IsZero() {
		return 0, nil
	}
	rows, err := s.table.Get(ctx, operator.HeadKey)
	if err != nil {
		return 0, err
	}
	head, err := operator.DecodeHead(rows[0])
	if err != nil {
		return 0, err
	}
	low, high := oleandervalve.Revision(0), head.Revision
	for low < high {
		mid := low + (high-low+1)/2
		if rows, err = s.table.Get(ctx, operator.LogKey(mid)); err != nil {
			return 0, err
		}
		if rows[0].Version != 0 {
			rec, err := operator.DecodeRecord(rows[0])
			if err != nil {
				return 0, err
			}
			if !rec.At.Before(from.Add(-maxClockSkew)) {
				high = mid - 1
				continue
			}
		}
		// A missing row was pruned, so it is older than all rows that remain.
		low = mid
	}
	return low, nil
}

// cursor iterates over the records under one prefix, page by page.
type cursor struct {
	table  oleandervalve.Table
	prefix oleandervalve.Key
	after  oleandervalve.Key
	page   []operator.Record
	done   bool
}

func (c *cursor) peek(ctx context.Context) (*operator.Record, error) {
	for len(c.page) == 0 && !c.done {
		page, err := c.table.Scan(ctx, c.prefix, c.after, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			rec, err := operator.DecodeRecord(row)
			if err != nil {
				return nil, err
			}
			c.page = append(c.page, rec)
		}
		c.after, c.done = page.Next, page.Next == ""
	}
	if len(c.page) == 0 {
		return nil, nil //nolint:nilnil // nil marks the end of the records.
	}
	return &c.page[0], nil
}

func (c *cursor) pop() { c.page = c.page[1:] }

// maxPrunedRows limits the records of each prefix that one call of Prune deletes,
// so that pruning uses a small part of the table's write budget.
const maxPrunedRows = 100

// Prune deletes the oldest log records, with their change ids, and the oldest
// attempts if they are older than retention, and returns the number of deleted
// records. It keeps the last maxLogRows revisions, which entries may still read
// from the log.
func (s *Store) Prune(ctx context.Context, retention time.Duration) (int, error) {
	rows, err := s.table.Get(ctx, operator.HeadKey)
	if err != nil {
		return 0, err
	}
	head, err := operator.DecodeHead(rows[0])
	if err != nil {
		return 0, err
	}
	cutoff := s.clock.Now().Add(-retention)
	t := oleandervalve.Transaction{}
	n := 0
	for _, prefix := range []oleandervalve.Key{operator.LogPrefix, operator.AttemptPrefix} {
		page, err := s.table.Scan(ctx, prefix, "", maxPrunedRows)
		if err != nil {
			return 0, err
		}
		for _, row := range page.Rows {
			rec, err := operator.DecodeRecord(row)
			if err != nil {
				return 0, err
			}
			if !rec.At.Before(cutoff) || rec.Revision+maxLogRows > head.Revision && rec.Revision > 0 {
				break
			}
			t.Deletes = append(t.Deletes, row.Key)
			if rec.Revision > 0 {
				t.Deletes = append(t.Deletes, operator.ChangeKey(rec.ChangeID))
			}
			n++
		}
	}
	if n == 0 {
		return 0, nil
	}
	t.ID = oleandervalve.MutationID(fmt.Sprintf("prune-%s-%d", cutoff.UTC().Format("20060102T150405"), len(t.Deletes)))
	_, err = s.table.Commit(ctx, t)
	return n, err
}
