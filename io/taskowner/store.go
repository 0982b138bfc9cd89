package taskowner

import (
	"context"
	"time"

	"oleandervalve"
	"oleandervalve/core/table"
)

const (
	maxScanRows = 500
	maxGetKeys  = 100
	// readRetryDelay is the delay before a failed read is repeated.
	readRetryDelay = time.Second
)

// store runs table calls within the entry's budget.
type store struct {
	table oleandervalve.Table
	clock oleandervalve.Clock
	lock  chan struct{}
	limit *table.Limiter
}

func newStore(t oleandervalve.Table, c oleandervalve.Clock, l table.Limits) *store {
	return &store{table: t, clock: c, limit: table.NewLimiter(l), lock: make(chan struct{}, 1)}
}

// setLimits changes the budget.
func (s *store) setLimits(l table.Limits) {
	s.lock <- struct{}{}
	s.limit.SetLimits(s.clock.Now(), l)
	<-s.lock
}

// admit waits until reserve, which takes row reads or writes from the budget,
// returns no further wait. It returns false if the context ends first.
func (s *store) admit(ctx context.Context, reserve func(now time.Time) time.Duration) bool {
	for ctx.Err() == nil {
		s.lock <- struct{}{}
		wait := reserve(s.clock.Now())
		<-s.lock
		if wait <= 0 {
			return true
		}
		s.sleep(ctx, wait)
	}
	return false
}

func (s *store) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}

// resolve commits a transaction, with retries and read-backs until its outcome is
// known. It returns false if the context ends first.
func (s *store) resolve(ctx context.Context, t oleandervalve.Transaction, p table.Priority) (table.Result, bool) {
	a, step := table.NewAttempt(t)
	for {
		s.sleep(ctx, step.Delay)
		if ctx.Err() != nil {
			return table.Result{}, false
		}
		switch step.Kind {
		case table.StepDone:
			return step.Result, true
		case table.StepCommit:
			n := len(t.Puts) + len(t.Deletes)
			if !s.admit(ctx, func(now time.Time) time.Duration { return s.limit.TakeWrites(now, p, n) }) {
				return table.Result{}, false
			}
			step = a.HandleCommit(s.table.Commit(ctx, t))
		case table.StepRead:
			if !s.admit(ctx, func(now time.Time) time.Duration { return s.limit.TakeReads(now, p, len(step.Keys)) }) {
				return table.Result{}, false
			}
			step = a.HandleRead(s.table.Get(ctx, step.Keys...))
		}
	}
}

// get reads rows in batches and repeats failed reads. The result is incomplete if
// the context ends first.
func (s *store) get(ctx context.Context, keys []oleandervalve.Key) []oleandervalve.Row {
	var out []oleandervalve.Row
	for len(keys) > 0 && ctx.Err() == nil {
		n := min(len(keys), maxGetKeys)
		rows, err := s.tryGet(ctx, keys[:n])
		if err != nil {
			s.sleep(ctx, readRetryDelay)
			continue
		}
		out = append(out, rows...)
		keys = keys[n:]
	}
	return out
}

func (s *store) tryGet(ctx context.Context, keys []oleandervalve.Key) ([]oleandervalve.Row, error) {
	if !s.admit(ctx, func(now time.Time) time.Duration { return s.limit.TakeReads(now, table.Renewing, len(keys)) }) {
		return nil, ctx.Err()
	}
	return s.table.Get(ctx, keys...)
}

// scan reads all rows with a prefix. The time of the result is that of the first page.
func (s *store) scan(ctx context.Context, prefix oleandervalve.Key) (oleandervalve.Page, error) {
	var out oleandervalve.Page
	var after oleandervalve.Key
	for {
		if !s.admit(ctx, func(now time.Time) time.Duration { return s.limit.TakeReads(now, table.Renewing, 1) }) {
			return out, ctx.Err()
		}
		p, err := s.table.Scan(ctx, prefix, after, maxScanRows)
		if err != nil {
			return out, err
		}
		if out.At.IsZero() {
			out.At = p.At
		}
		out.Rows = append(out.Rows, p.Rows...)
		if p.Next == "" {
			return out, nil
		}
		after = p.Next
	}
}
