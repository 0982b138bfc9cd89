package caller

import (
	"container/heap"
	"time"
)

// item is one waiting request with its index in the heap of its flow and in the
// expiry heap.
type item struct {
	request     Request
	sequence    uint64
	callerFlow  *flow
	flowIndex   int
	expiryIndex int
}

// less orders items by deadline, then by arrival. Items with ByArrival set are
// ordered by arrival only.
func (it *item) less(o *item) bool {
	if !it.request.ByArrival && !it.request.Deadline.Equal(o.request.Deadline) {
		return it.request.Deadline.Before(o.request.Deadline)
	}
	if !it.request.Arrived.Equal(o.request.Arrived) {
		return it.request.Arrived.Before(o.request.Arrived)
	}
	return it.sequence < o.sequence
}

// flow is the queue of one class, team or caller. Its active children are served
// by start-time fair queueing, the requests of a caller by deadline.
type flow struct {
	key    string
	parent *flow
	weight float64
	// size is the number of waiting requests of the flow and its descendants.
	size int
	// startTag is the start tag of the flow's next request; virtualTime is the
	// start tag of the child served last.
	startTag    float64
	virtualTime float64
	children    map[string]*flow
	active      flowHeap
	// activeWeight is the sum of the weights of the active children.
	activeWeight float64
	// idle lists inactive children. They are kept until the virtual time has
	// reached their start tag, so that a child gains no advantage from emptying
	// its queue often.
	idle      []*flow
	inIdle    bool // the flow is in the idle list of its parent
	heapIndex int
	requests  itemHeap
}

// child returns the child with a key and creates it if absent. The weight of an
// active child does not change.
func (f *flow) child(key string, weight float64) *flow {
	c := f.children[key]
	if c == nil {
		if f.children == nil {
			f.children = map[string]*flow{}
		}
		c = &flow{key: key, parent: f, heapIndex: -1}
		f.children[key] = c
	}
	if c.heapIndex < 0 {
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

// updateSize adds delta to the number of waiting requests of the flow and its
// ancestors and restores the heap order of the ancestors.
func (f *flow) updateSize(delta int) {
	for c := f; c != nil; c = c.parent {
		c.size += delta
		p := c.parent
		if p == nil {
			return
		}
		switch {
		case c.size == 0:
			p.deactivate(c)
		case c.heapIndex < 0:
			c.startTag = max(c.startTag, p.virtualTime)
			p.activeWeight += c.weight
			heap.Push(&p.active, c)
		default:
			heap.Fix(&p.active, c.heapIndex)
		}
	}
}

// deactivate moves a child without requests to the idle list and removes idle
// children whose start tag the virtual time has reached.
func (f *flow) deactivate(c *flow) {
	heap.Remove(&f.active, c.heapIndex)
	f.activeWeight -= c.weight
	if !c.inIdle {
		c.inIdle = true
		f.idle = append(f.idle, c)
	}
	if len(f.active) == 0 {
		f.activeWeight = 0
		// No children compete, so their start tags are not needed.
		for _, x := range f.idle {
			delete(f.children, x.key)
		}
		f.idle, f.virtualTime = f.idle[:0], 0
		return
	}
	for range min(2, len(f.idle)) {
		x := f.idle[0]
		f.idle = f.idle[1:]
		switch {
		case x.heapIndex >= 0:
			x.inIdle = false
		case x.startTag <= f.virtualTime:
			delete(f.children, x.key)
		default:
			f.idle = append(f.idle, x)
		}
	}
}

// charge charges one request to the flows on the path from a caller to its class.
func (f *flow) charge() {
	for c := f; c.parent != nil; c = c.parent {
		c.parent.virtualTime = max(c.parent.virtualTime, c.startTag)
		c.startTag += 1 / c.weight
	}
}

// refund reverses the charge of a request that was popped but not run.
func (f *flow) refund() {
	for c := f; c.parent != nil; c = c.parent {
		c.startTag = max(0, c.startTag-1/c.weight)
	}
}

// flowHeap holds the active children of a flow.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

// Less orders flows by start tag. The deadlines of their next requests decide
// only between equal tags.
func (h flowHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	x, y := a.head(), b.head()
	if x == nil || y == nil {
		return a.key < b.key
	}
	return x.less(y)
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}

// itemHeap holds the requests of one caller in the order of item.less.
type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].less(h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].flowIndex, h[j].flowIndex = i, j
}

func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.flowIndex = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

// expiryHeap orders items by deadline, then by arrival.
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
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	it := x.(*item)
	it.expiryIndex = len(*h)
	*h = append(*h, it)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

// rateHalvingWindow is the backlogged time beyond which the measurements so far
// are halved, so that recent service counts more.
const rateHalvingWindow = 500 * time.Millisecond

// minBacklogTime is the minimum backlogged time for a usable rate estimate.
const minBacklogTime = 50 * time.Millisecond

// serviceRate measures the rate at which a class is served while it has waiting
// requests.
type serviceRate struct {
	served     float64
	backlogged time.Duration
	// backlogSince is the start of the current backlogged interval, or zero if no
	// request is waiting.
	backlogSince time.Time
}

// advance adds the time since the last call if requests were waiting; waiting is
// their number from now on.
func (r *serviceRate) advance(now time.Time, waiting int) {
	if !r.backlogSince.IsZero() {
		r.backlogged += max(0, now.Sub(r.backlogSince))
		r.backlogSince = time.Time{}
	}
	if waiting > 0 {
		r.backlogSince = now
	}
	for r.backlogged > rateHalvingWindow {
		r.served /= 2
		r.backlogged /= 2
	}
}

// interval returns the mean time between two served requests, or false if there
// are not enough measurements.
func (r *serviceRate) interval() (time.Duration, bool) {
	if r.backlogged < minBacklogTime {
		return 0, false
	}
	return time.Duration(float64(r.backlogged) / max(r.served, 0.01)), true
}
