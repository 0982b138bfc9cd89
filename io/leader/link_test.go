package leader

import (
	"context"
	"sort"
	"sync"
	"time"

	"oleandervalve"
)

// link is one direction of a network link with a limited rate.
type link struct {
	rate float64 // bytes per second

	mu   sync.Mutex
	free time.Time
	sent int64
}

// total returns the number of bytes carried so far.
func (l *link) total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// packet is the number of bytes that a link carries for one sender before it serves the next.
const packet = 1500

// transfer carries n bytes and returns false if ctx ends first.
func (l *link) transfer(ctx context.Context, n int) bool {
	for ; n > 0; n -= packet {
		m := min(n, packet)
		l.mu.Lock()
		now := time.Now()
		if l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(float64(m) / l.rate * float64(time.Second)))
		wait := l.free.Sub(now)
		l.sent += int64(m)
		l.mu.Unlock()
		if wait < time.Millisecond {
			continue
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// linkedTable is a table behind the links of the leader.
type linkedTable struct {
	*fakeTable
	in, out *link
	delay   time.Duration

	statsMu sync.Mutex
	took    []time.Duration
	sizes   []int
	failed  int
}

const (
	// rowOverhead is the size of a row in a call, apart from its value.
	rowOverhead = 100
	maxPageSize = 1 << 20
)

func encodedSize(value []byte) int { return len(value)*4/3 + rowOverhead }

func (t *linkedTable) Commit(ctx context.Context, x oleandervalve.Transaction) (oleandervalve.Committed, error) {
	size := 200 + rowOverhead*(len(x.Conditions)+len(x.Deletes))
	for _, p := range x.Puts {
		size += encodedSize(p.Value)
	}
	started := time.Now()
	type result struct {
		c   oleandervalve.Committed
		err error
	}
	done := make(chan result, 1)
	go func() {
		// A call that the leader has given up is still in the buffer of its connection.
		t.out.transfer(context.Background(), size)
		time.Sleep(t.delay)
		c, err := t.fakeTable.Commit(context.Background(), x)
		done <- result{c, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-ctx.Done():
		r.err = &oleandervalve.UnknownOutcomeError{Operation: "commit", Cause: ctx.Err()}
	}
	t.statsMu.Lock()
	defer t.statsMu.Unlock()
	t.took = append(t.took, time.Since(started))
	t.sizes = append(t.sizes, size)
	if r.err != nil {
		t.failed++
	}
	return r.c, r.err
}

func (t *linkedTable) Get(ctx context.Context, keys ...oleandervalve.Key) ([]oleandervalve.Row, error) {
	time.Sleep(t.delay)
	return t.fakeTable.Get(ctx, keys...)
}

func (t *linkedTable) Scan(ctx context.Context, prefix, after oleandervalve.Key, limit int) (oleandervalve.Page, error) {
	all, err := t.fakeTable.Scan(ctx, prefix, "", 0)
	if err != nil {
		return all, err
	}
	sort.Slice(all.Rows, func(i, j int) bool { return all.Rows[i].Key < all.Rows[j].Key })
	p := oleandervalve.Page{Version: all.Version}
	size := 200
	for _, r := range all.Rows {
		if r.Key <= after {
			continue
		}
		if len(p.Rows) == min(limit, maxPageRows) || size > maxPageSize {
			p.Next = p.Rows[len(p.Rows)-1].Key
			break
		}
		p.Rows = append(p.Rows, r)
		size += encodedSize(r.Value)
	}
	time.Sleep(t.delay)
	if !t.in.transfer(ctx, size) {
		return oleandervalve.Page{}, &oleandervalve.UnavailableError{Service: "table", Cause: ctx.Err()}
	}
	return p, nil
}
