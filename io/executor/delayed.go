package executor

import (
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

const (
	// delayedStartAge is the age from which on a start order is delayed.
	delayedStartAge = 500 * time.Millisecond
	// delayedStartsInterval is the minimum time between two lists of delayed starts. Pings
	// that ask for a newer proof are more frequent.
	delayedStartsInterval = 500 * time.Millisecond
	// maxDelayedStartBytes limits the delayed starts in one message. The youngest are left out.
	maxDelayedStartBytes = peer.MaxFrame / 4
)

// addDelayedStarts adds the delayed starts to a ping if they are due. s.mu must be held.
func (s *session) addDelayedStarts(now oleandervalve.Instant, p *peer.Ping) {
	if !s.delayedStartsAt.IsZero() && now.Sub(s.delayedStartsAt) < delayedStartsInterval {
		return
	}
	s.delayedStartsAt = now
	p.DelayedStarts, p.ListsDelayedStarts = s.delayedStarts(now), true
}

// delayedStarts returns the runs whose orders are delayed and that are not known to have started,
// oldest first, as far as they fit into a message. s.mu must be held.
func (s *session) delayedStarts(now oleandervalve.Instant) []dispatch.DelayedStart {
	var delayed []runKey
	for k, st := range s.pendingStarts {
		// An order without an answer may have been carried out.
		if now.Sub(st.receivedAt) >= delayedStartAge && !s.running[k] && !s.listedEnds[k] {
			delayed = append(delayed, k)
		}
	}
	sort.Slice(delayed, func(i, j int) bool {
		return s.pendingStarts[delayed[i]].receivedAt.Time.Before(s.pendingStarts[delayed[j]].receivedAt.Time)
	})
	var out []dispatch.DelayedStart
	size := 0
	for _, k := range delayed {
		size += runBytes + len(k.task.Job)
		if size > maxDelayedStartBytes {
			break
		}
		out = append(out, dispatch.DelayedStart{Task: k.task, Run: k.run})
	}
	return out
}
