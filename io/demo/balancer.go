package demo

import "sync"

// balancer distributes calls round-robin over the ready entries, like the
// platform's load balancer.
type balancer struct {
	mu       sync.Mutex
	urls     []string
	notReady []bool
	next     int
}

func newBalancer(urls []string) *balancer {
	return &balancer{urls: urls, notReady: make([]bool, len(urls))}
}

// pick returns the URL of the next ready entry, or of any entry if none is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.urls {
		b.next = (b.next + 1) % len(b.urls)
		if !b.notReady[b.next] {
			break
		}
	}
	return b.urls[b.next]
}

// setReady sets whether an entry receives calls.
func (b *balancer) setReady(i int, ready bool) {
	b.mu.Lock()
	b.notReady[i] = !ready
	b.mu.Unlock()
}
