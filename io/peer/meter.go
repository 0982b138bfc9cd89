package peer

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Meter counts the bytes of sent and received messages by type. It is safe for concurrent
// use.
type Meter struct {
	scope    tally.Scope
	mu       sync.Mutex
	counters map[meterKey]tally.Counter
}

const (
	directionReceived = "received"
	directionSent     = "sent"
)

type meterKey struct {
	direction string
	kind      Type
}

// NewMeter returns a Meter that reports the counter peer_bytes, tagged with the direction
// and the type of the messages.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{scope: scope, counters: map[meterKey]tally.Counter{}}
}

func (m *Meter) add(direction string, kind Type, bytes int) {
	if m == nil {
		return
	}
	k := meterKey{direction, kind}
	m.mu.Lock()
	c := m.counters[k]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"direction": direction, "type": string(kind)}).Counter("peer_bytes")
		m.counters[k] = c
	}
	m.mu.Unlock()
	c.Inc(int64(bytes))
}
