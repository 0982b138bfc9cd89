package clientlimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandervalve"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against small requests that are refused while large ones hold the budget, and against
// one that stays although it makes no progress.
func TestRequestThatReleasesItsShare(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100_000)
	for id, n := range map[RequestID]oleandervalve.Bytes{1: 60_000, 2: 30_000} {
		_, ok := b.Reserve(id, n, start)
		is.True(ok)
	}
	later := start.Add(StallTime)
	b.Received(1, progressBytes, later) // only 2 has stalled
	_, _ = b.Reserve(1, 0, later)
	victims, ok := b.Reserve(3, 20_000, later)
	is.True(ok)
	is.Equal(victims, []RequestID{2}) // without progress, although 1 holds more
	victims, ok = b.Reserve(4, 25_000, later)
	is.True(ok)
	is.Equal(victims, []RequestID{1}) // all make progress
	_, ok = b.Reserve(5, 80_000, later)
	is.True(!ok) // it would hold the most itself
	is.Equal(b.Used(), oleandervalve.Bytes(45_000))
}

// Guards against new large requests that take the share of older ones of the same size, so that
// none of them completes.
func TestNewLargeRequestIsRefused(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100_000)
	b.Declare(1, 90_000, start)
	_, ok := b.Reserve(1, 89_000, start)
	is.True(ok)
	b.Declare(2, 90_000, start)
	_, ok = b.Reserve(2, 8_000, start)
	is.True(ok)
	_, ok = b.Reserve(2, 8_000, start)
	is.True(!ok)
}

// Guards against single bytes that count as progress, and against a request that is given up
// although it may have taken effect.
func TestProgressAndCompletion(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100_000)
	_, _ = b.Reserve(1, 60_000, start)
	_, _ = b.Reserve(2, 30_000, start)
	now := start.Add(StallTime)
	for id, n := range map[RequestID]oleandervalve.Bytes{1: progressBytes, 2: 1} {
		b.Received(id, n, now)
		_, _ = b.Reserve(id, 0, now)
	}
	victims, ok := b.Reserve(3, 20_000, now)
	is.True(ok)
	is.Equal(victims, []RequestID{2})
	b.Complete(1)
	b.Complete(3)
	_, ok = b.Reserve(4, 30_000, now.Add(time.Hour))
	is.True(!ok)
	b.End(1)
	_, ok = b.Reserve(4, 30_000, now.Add(time.Hour))
	is.True(ok)
}

// Guards against a request that is given up for want of progress although the process doesn't
// read from its client, for example because its body waits for an endpoint.
func TestPauseOfTheProcessIsNoLackOfProgress(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100_000)
	_, _ = b.Reserve(1, 60_000, start)
	b.Received(1, 10, start)
	now := start.Add(time.Hour)
	_, ok := b.Reserve(2, 50_000, now)
	is.True(!ok) // 1 is not being read
	_, _ = b.Reserve(1, 0, now)
	_, _ = b.Reserve(2, 40_000, now)
	victims, ok := b.Reserve(3, 30_000, now)
	is.True(ok)
	is.Equal(victims, []RequestID{1}) // the largest
	_, ok = b.Reserve(4, 40_000, now)
	is.True(!ok) // none has stalled
}

// Guards against a budget that loses count of what is held.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, held, now := NewBudget(1_000), map[RequestID]oleandervalve.Bytes{}, start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			id := RequestID(rapid.IntRange(1, 8).Draw(t, "request"))
			n := oleandervalve.Bytes(rapid.IntRange(0, 600).Draw(t, "bytes"))
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				victims, ok := b.Reserve(id, n, now)
				for _, v := range victims {
					delete(held, v)
				}
				if ok {
					held[id] += n
				}
			case 2:
				b.Release(id, n)
				held[id] -= min(n, held[id])
			case 3:
				b.Complete(id)
			case 4:
				b.End(id)
				delete(held, id)
			}
			sum := oleandervalve.Bytes(0)
			for _, h := range held {
				sum += h
			}
			if b.Used() != sum || sum > 1_000 {
				t.Fatalf("%d bytes used, %d held", b.Used(), sum)
			}
		}
	})
}

// Guards against a listener that closes a connection with a request although an idle one is
// open, or one whose request may have taken effect, and against one that refuses ordinary
// callers while others connect faster than connections grow old.
func TestConnectionToClose(t *testing.T) {
	is := is.New(t)
	old := start.Add(-time.Minute)
	serving := Connection{Phase: Serving, OpenedAt: old, ChangedAt: old}
	fresh := Connection{Phase: Receiving, OpenedAt: start, ChangedAt: start}
	slow := Connection{Phase: Receiving, OpenedAt: old, ChangedAt: start, Received: 100}
	fast := Connection{Phase: Receiving, OpenedAt: old, ChangedAt: start, Received: 1_000}
	stalled := Connection{Phase: Receiving, OpenedAt: old, ChangedAt: start.Add(-StallTime), Received: 200_000}
	idle := Connection{Phase: Idle, OpenedAt: old, ChangedAt: start.Add(-time.Second)}
	idleLonger := Connection{Phase: Idle, OpenedAt: old, ChangedAt: start.Add(-2 * time.Second)}
	open := []Connection{serving, fresh, fast, slow, stalled, idle, idleLonger}
	for n := len(open); n > 2; n-- {
		i, ok := ConnectionToClose(open[:n], start)
		is.True(ok)
		is.Equal(open[i], map[int]Connection{7: idleLonger, 6: idle, 5: stalled, 4: slow, 3: fast}[n])
	}
	older := Connection{Phase: Receiving, OpenedAt: start.Add(-time.Millisecond), ChangedAt: start, Received: 10_000}
	i, ok := ConnectionToClose([]Connection{serving, fresh, older, fresh}, start)
	is.True(ok)
	is.Equal(i, 2)
	_, ok = ConnectionToClose([]Connection{serving, serving}, start)
	is.True(!ok)
}

// Guards against limits below what clients use within the documented limits: a few hundred
// connections, and several bodies of 256 KB at a time on the smallest instance.
func TestLimitsLeaveRoomForOrdinaryClients(t *testing.T) {
	is := is.New(t)
	l := LimitsFor(152<<20, 4096)
	is.True(l.Connections >= 600)
	is.True(l.OtherConnections >= 64)
	is.True(l.Budget >= 64*(256<<10))
	for _, descriptors := range []int{4100, 8192} {
		for _, memory := range []oleandervalve.Bytes{184 << 20, 536 << 20, 64 << 30} {
			l := LimitsFor(memory, descriptors)
			is.True(l.Connections+l.Peers+4*l.OtherConnections < descriptors-reservedDescriptors)
			is.True(l.Peers >= 755) // agents and entries at the design size
		}
	}
	is.Equal(LimitsFor(0, 0), Limits{Connections: minConnections, Peers: minConnections, OtherConnections: minConnections})
}

// Guards against agents that are refused because all of them connect with TLS at the same time,
// and against headers of many small fields that count for less than they take.
func TestHeaderCharge(t *testing.T) {
	is := is.New(t)
	is.Equal(HeaderCharge(FreeHeaderBytes, false), oleandervalve.Bytes(0))
	is.Equal(HeaderCharge(FreeHeaderBytes+10, false), oleandervalve.Bytes(10*HeaderWeight))
	is.True(300*HeaderCharge(10_000, true) < LimitsFor(152<<20, 4096).Budget)
	is.Equal(HeaderCharge(FreeHeaderBytes+HandshakeBytes+10, true), oleandervalve.Bytes(HandshakeBytes+10*HeaderWeight))
}

// Guards against a planned stop that waits for a request without progress, that refuses one whose
// bytes have arrived while the process was suspended, or that has no time left for the refusals.
func TestActionAtStop(t *testing.T) {
	is := is.New(t)
	end := start.Add(3 * time.Second)
	is.Equal(ActionAtStop(Connection{ChangedAt: start}, start.Add(StallTime-1), end), Await)
	is.Equal(ActionAtStop(Connection{ChangedAt: start}, start.Add(StallTime), end), ReadOnce)
	almost := end.Add(-stopRefusalTime)
	is.Equal(ActionAtStop(Connection{ChangedAt: almost}, almost.Add(-1), end), Await)
	is.Equal(ActionAtStop(Connection{ChangedAt: almost}, almost, end), Refuse)
	is.Equal(ActionAtStop(Connection{ChangedAt: start}, almost, end), Refuse)
}

// Guards against a call that loses its slot to another one although its client makes progress, or
// although the process doesn't read.
func TestLongestStalled(t *testing.T) {
	is := is.New(t)
	later := start.Add(2 * StallTime)
	reading := func(since time.Time) Progress {
		p := NewProgress(since)
		p.Reading(since)
		return p
	}
	progressing, dripping, paused := reading(start), reading(start), reading(start)
	progressing.Received(progressBytes, later)
	progressing.Reading(later)
	dripping.Received(1, later)
	dripping.Reading(later)
	paused.Received(0, start)
	list := []Progress{reading(later), progressing, paused, reading(start.Add(StallTime)), dripping}
	i, ok := LongestStalled(list, later)
	is.True(ok)
	is.Equal(i, 4)
	i, ok = LongestStalled(list[:4], later)
	is.True(ok)
	is.Equal(i, 3)
	_, ok = LongestStalled(list[:3], later)
	is.True(!ok)
}
