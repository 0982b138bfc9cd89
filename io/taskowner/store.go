package taskowner

import (
	"context"
	"time"

	"oleandervalve"
	"oleandervalve/core/table"
)

const (
	scanPage = 500
	getBatch = 100
	// retryRead is the wait after a read that the table did not answer.
	retryRead = time.Second
)

// store runs table calls within the budget.
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

// admit waits until the budget permits a number of row reads or writes.
func (s *store) admit(ctx context.Context, take func(now time.Time) time.Duration) bool {
	for ctx.Err() == nil {
		s.lock <- struct{}{}
		wait := take(s.clock.Now())
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

// resolve takes a transaction to its result; false if the context ended first.
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

// get reads rows in batches and repeats until the table answers.
func (s *store) get(ctx context.Context, keys []oleandervalve.Key) []oleandervalve.Row {
	var out []oleandervalve.Row
	for len(keys) > 0 && ctx.Err() == nil {
		n := min(len(keys), getBatch)
		rows, err := s.tryGet(ctx, keys[:n])
		if err != nil {
			s.sleep(ctx, retryRead)
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

// scan reads all rows with a prefix; the time is that of the first page.
func (s *store) scan(ctx context.Context, prefix oleandervalve.Key) (oleandervalve.Page, error) {
	var out oleandervalve.Page
	var after oleandervalve.Key
	for {
		if !s.admit(ctx, func(now time.Time) time.Duration { return s.limit.TakeReads(now, table.Renewing, 1) }) {
			return out, ctx.Err()
		}
		p, err := s.table.Scan(ctx, prefix, after, scanPage)
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
