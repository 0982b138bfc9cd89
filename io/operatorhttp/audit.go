package operatorhttp

import (
	"context"
	"fmt"
	"time"

	"oleandervalve"
	"oleandervalve/core/operator"
)

// clockMargin covers the difference between the clocks of entries: audit
// records carry the time of the entry that wrote them.
const clockMargin = 5 * time.Minute

// Audit passes the matching records to visit in the order of their times until
// it returns false. Changes are merged with the attempts that changed no object.
func (s *Store) Audit(ctx context.Context, f operator.AuditFilter, visit func(operator.Record) bool) error {
	start, err := s.firstSince(ctx, f.From)
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
		if next == nil || !f.To.IsZero() && next.At.After(f.To.Add(clockMargin)) {
			return nil
		}
		c.pop()
		if f.Matches(*next) && !visit(next.Redacted()) {
			return nil
		}
	}
}

// firstSince returns a revision that is older than the given time, by binary
// search over the log.
func (s *Store) firstSince(ctx context.Context, from time.Time) (oleandervalve.Revision, error) {
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
			if !rec.At.Before(from.Add(-clockMargin)) {
				high = mid - 1
				continue
			}
		}
		// A missing row is older than the retention of the log.
		low = mid
	}
	return low, nil
}

// cursor reads the records under one prefix page by page.
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
		return nil, nil //nolint:nilnil // nil is the end of the trail.
	}
	return &c.page[0], nil
}

func (c *cursor) pop() { c.page = c.page[1:] }

// pruneLimit bounds the rows that one call of Prune deletes, so that pruning
// takes a small part of the table's write budget.
const pruneLimit = 100

// Prune deletes the oldest rows of the log, of change ids and of attempts that
// are older than keep, and returns how many records it deleted. Changes that
// entries may still read from the log always stay.
func (s *Store) Prune(ctx context.Context, keep time.Duration) (int, error) {
	rows, err := s.table.Get(ctx, operator.HeadKey)
	if err != nil {
		return 0, err
	}
	head, err := operator.DecodeHead(rows[0])
	if err != nil {
		return 0, err
	}
	oldest := s.clock.Now().Add(-keep)
	t := oleandervalve.Transaction{}
	n := 0
	for _, prefix := range []oleandervalve.Key{operator.LogPrefix, operator.AttemptPrefix} {
		page, err := s.table.Scan(ctx, prefix, "", pruneLimit)
		if err != nil {
			return 0, err
		}
		for _, row := range page.Rows {
			rec, err := operator.DecodeRecord(row)
			if err != nil {
				return 0, err
			}
			if !rec.At.Before(oldest) || rec.Revision+maxLogRows > head.Revision && rec.Revision > 0 {
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
	t.ID = oleandervalve.MutationID(fmt.Sprintf("prune-%s-%d", oldest.UTC().Format("20060102T150405"), len(t.Deletes)))
	_, err = s.table.Commit(ctx, t)
	return n, err
}
