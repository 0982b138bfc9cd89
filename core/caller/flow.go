package caller

import (
	"container/heap"
	"time"
)

// item is one waiting request with its positions in both heaps.
type item struct {
	request  Request
	sequence uint64
	leaf     *flow
	inFlow   int
	inExpiry int
}

// before orders by deadline, then by arrival; the baseline leaves out the deadline.
func (it *item) before(o *item) bool {
	if !it.request.ByArrival && !it.request.Deadline.Equal(o.request.Deadline) {
		return it.request.Deadline.Before(o.request.Deadline)
	}
	if !it.request.Arrived.Equal(o.request.Arrived) {
		return it.request.Arrived.Before(o.request.Arrived)
	}
	return it.sequence < o.sequence
}

// flow is one class, team or caller. Its active children are served by
// start-time fair queueing; the requests of a caller are served by deadline.
type flow struct {
	key    string
	parent *flow
	weight float64
	size   int
	// virtual is the start tag of the next request, clock that of the child served last.
	virtual  float64
	clock    float64
	children map[string]*flow
	active   flowHeap
	// activeWeight is the sum of the weights of the active children.
	activeWeight float64
	// idle lists inactive children until the clock has passed their tag, so
	// that a child that empties its queue often gets no advantage by it.
	idle     []*flow
	listed   bool
	position int
	requests itemHeap
}

func (f *flow) child(key string, weight float64) *flow {
	c := f.children[key]
	if c == nil {
		if f.children == nil {
			f.children = map[string]*flow{}
		}
		c = &flow{key: key, parent: f, position: -1}
		f.children[key] = c
	}
	if c.position < 0 {
		c.weight = weight
	}
	return c
}

// head returns the request that the flow serves next.
func (f *flow) head() *item {
	for len(f.active) > 0 {
		f = f.active[0]
	}
	if len(f.requests) == 0 {
		return nil
	}
	return f.requests[0]
}

// changed restores the order of the ancestors after a request was added or removed.
func (f *flow) changed(by int) {
	for c := f; c != nil; c = c.parent {
		c.size += by
		p := c.parent
		if p == nil {
			return
		}
		switch {
		case c.size == 0:
			p.deactivate(c)
		case c.position < 0:
			c.virtual = max(c.virtual, p.clock)
			p.activeWeight += c.weight
			heap.Push(&p.active, c)
		default:
			heap.Fix(&p.active, c.position)
		}
	}
}

func (f *flow) deactivate(c *flow) {
	heap.Remove(&f.active, c.position)
	f.activeWeight -= c.weight
	if !c.listed {
		c.listed = true
		f.idle = append(f.idle, c)
	}
	if len(f.active) == 0 {
		f.activeWeight = 0
		// Nobody competes, so no history is needed.
		for _, x := range f.idle {
			delete(f.children, x.key)
		}
		f.idle, f.clock = f.idle[:0], 0
		return
	}
	for range min(2, len(f.idle)) {
		x := f.idle[0]
		f.idle = f.idle[1:]
		switch {
		case x.position >= 0:
			x.listed = false
		case x.virtual <= f.clock:
			delete(f.children, x.key)
		default:
			f.idle = append(f.idle, x)
		}
	}
}

// serve charges the path from a caller to its class for one request.
func (f *flow) serve() {
	for c := f; c.parent != nil; c = c.parent {
		c.parent.clock = max(c.parent.clock, c.virtual)
		c.virtual += 1 / c.weight
	}
}

// refund takes back the charge of a request that was not served after all.
func (f *flow) refund() {
	for c := f; c.parent != nil; c = c.parent {
		c.virtual = max(0, c.virtual-1/c.weight)
	}
}

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

// Less orders by start tag; urgency decides only between equal tags.
func (h flowHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	x, y := a.head(), b.head()
	if x == nil || y == nil {
		return a.key < b.key
	}
	return x.before(y)
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.position = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.position = -1
	return f
}

type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].inFlow, h[j].inFlow = i, j
}

func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.inFlow = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

type expiryHeap []*item

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.sequence < b.sequence
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].inExpiry, h[j].inExpiry = i, j
}

func (h *expiryHeap) Push(x any) {
	it := x.(*item)
	it.inExpiry = len(*h)
	*h = append(*h, it)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

// rateWindow is the backlogged time after which older service counts half.
const rateWindow = 500 * time.Millisecond

// minRateTime is the backlogged time below which a rate is not relied on.
const minRateTime = 50 * time.Millisecond

// rate measures how fast a class is served while it has requests waiting.
type rate struct {
	served     float64
	backlogged time.Duration
	// since is the start of the current backlogged interval; zero if none.
	since time.Time
}

func (r *rate) advance(now time.Time, waiting int) {
	if !r.since.IsZero() {
		r.backlogged += max(0, now.Sub(r.since))
		r.since = time.Time{}
	}
	if waiting > 0 {
		r.since = now
	}
	for r.backlogged > rateWindow {
		r.served /= 2
		r.backlogged /= 2
	}
}

// interval returns the mean time between two services, or false if not measured.
func (r *rate) interval() (time.Duration, bool) {
	if r.backlogged < minRateTime {
		return 0, false
	}
	return time.Duration(float64(r.backlogged) / max(r.served, 0.01)), true
}
