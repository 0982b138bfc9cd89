package demo

import "sync"

// balancer spreads callers over the entries that are ready, as the platform's
// load balancer does.
type balancer struct {
	mu   sync.Mutex
	urls []string
	out  []bool
	next int
}

func newBalancer(urls []string) *balancer {
	return &balancer{urls: urls, out: make([]bool, len(urls))}
}

// pick returns the next ready entry, or any if none is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.urls {
		b.next = (b.next + 1) % len(b.urls)
		if !b.out[b.next] {
			break
		}
	}
	return b.urls[b.next]
}

// use says whether an entry gets callers.
func (b *balancer) use(i int, ready bool) {
	b.mu.Lock()
	b.out[i] = !ready
	b.mu.Unlock()
}
