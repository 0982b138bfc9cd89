package instance_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/core/credit"
	"oleandervalve/core/instance"

	"github.com/matryer/is"
)

// ledgerWith has one endpoint "e" with 8 slots and the entries "0" to n-1.
func ledgerWith(n int) *instance.Ledger {
	l := instance.NewLedger()
	l.Configure("s", []credit.ClassShare{{Class: "a", Weight: 3}, {Class: "f", Weight: 1, Floor: 0.5}})
	_ = l.Announce(start, oleandervalve.Announcement{Endpoint: "e", Service: "s", Slots: 8, Connections: 64})
	for i := range n {
		l.Connect(start, oleandervalve.EntryID(fmt.Sprint(i)), 1)
	}
	return l
}

// granted sums up credits as "<entry><class>"; renewals count under "renewed".
func granted(l *instance.Ledger, now time.Time) map[string]int {
	out := map[string]int{}
	for _, g := range l.Grants(now) {
		out[string(g.Entry)+string(g.Class)] += g.Count
		if g.Count == 0 {
			out["renewed"]++
		}
	}
	return out
}

func wants(l *instance.Ledger, entry oleandervalve.EntryID, class oleandervalve.ClassName, teams int) {
	l.Demand(start, entry, 1, []instance.ClassDemand{{Service: "s", Class: class, Waiting: 20, Teams: teams}})
}

// Guards against idle slots that wait for demand, grants that ignore floors,
// weights and the number of teams, and idle credits kept from those who wait.
func TestGrants(t *testing.T) {
	is := is.New(t)
	l := ledgerWith(3)
	idle := granted(l, start)
	is.True(len(idle) == 3 && idle["0"]+idle["1"]+idle["2"] == 8 && idle["0"] >= 2 && idle["1"] >= 2 && idle["2"] >= 2)
	wants(l, "0", "a", 1)
	is.Equal(len(l.Revokes(start)), 2) // from the entries without demand
	is.Equal(len(l.Revokes(start)), 0) // asked once
	l.Return(start, "1", 1, "e", "", idle["1"])
	is.Equal(granted(l, start)["0a"], idle["1"])

	l = ledgerWith(2)
	wants(l, "0", "a", 3)
	wants(l, "1", "f", 1)
	is.Equal(granted(l, start), map[string]int{"0a": 3, "1f": 5}) // floor of 4, the rest by weight
	l = ledgerWith(2)
	wants(l, "0", "a", 3)
	wants(l, "1", "a", 1)
	is.Equal(granted(l, start), map[string]int{"0a": 6, "1a": 2}) // by teams
	is.True(len(l.Disconnect(start, "0", 1)) == 0 && granted(l, start)["1a"] == 6)
}

// Guards against a slot granted again while the credit for it may still be
// used, and idle credits that run out although they are renewed.
func TestCreditMargin(t *testing.T) {
	is := is.New(t)
	l := ledgerWith(1)
	is.Equal(granted(l, start)["0"], 8)
	at := start
	for i := range 5 {
		at = start.Add(time.Duration(i+1) * time.Second)
		is.Equal(granted(l, at), map[string]int{"0": 0, "renewed": 1})
	}
	is.Equal(len(granted(l, at.Add(instance.CreditValidity+instance.CreditMargin-1))), 0)
	is.Equal(granted(l, at.Add(instance.CreditValidity+instance.CreditMargin))["0"], 8)
}

// Guards against work for an endpoint that leaves or stopped announcing, a late
// announcement that brings it back, and a drain that is over too early.
func TestLeaveAndDrain(t *testing.T) {
	is := is.New(t)
	l := ledgerWith(1)
	admit := func(id oleandervalve.RequestID, now time.Time) error {
		return l.Admit(now, instance.Admission{ID: id, Entry: "0", Epoch: 1, Endpoint: "e", Class: "a", Deadline: now.Add(time.Hour)})
	}
	announce := func(now time.Time) {
		is.NoErr(l.Announce(now, oleandervalve.Announcement{Endpoint: "e", Service: "s", Slots: 8, Connections: 64}))
	}
	is.NoErr(admit("r1", start))
	l.Leave(start, "e")
	announce(start.Add(time.Millisecond))
	is.True(admit("r2", start.Add(time.Millisecond)) != nil)
	announce(start.Add(2 * time.Second))
	is.NoErr(admit("r3", start.Add(2*time.Second))) // returned
	l.Tick(start.Add(5500 * time.Millisecond))
	is.True(admit("r4", start.Add(5500*time.Millisecond)) != nil) // three missed announcements
	announce(start.Add(6 * time.Second))
	is.NoErr(l.Begin(start, "0", 1, "r1"))
	l.Drain(start.Add(6 * time.Second))
	is.True(admit("r5", start.Add(6*time.Second)) != nil && len(granted(l, start.Add(6*time.Second))) == 0)
	is.True(l.Cancel(start, "0", 1, "r1") && !l.Cancel(start, "0", 1, "r3") && !l.Idle()) // begun; not begun
	l.Finish(start, "0", 1, "r1")
	is.True(l.Idle())
}

// Guards against resources given to two tasks or to two epochs of one, and
// against reservations before the running tasks are known.
func TestReservations(t *testing.T) {
	is := is.New(t)
	l := ledgerWith(0)
	size := oleandervalve.Resources{CPU: 600, Memory: 10}
	reason := func(err error) oleandervalve.Reason {
		var refused *oleandervalve.NotRunError
		is.True(errors.As(err, &refused))
		return refused.Reason
	}
	is.Equal(reason(l.Reserve(start, "t", 1, size)), oleandervalve.Reason("notRebuilt"))
	l.Rebuild(oleandervalve.Resources{CPU: 1000, Memory: 100}, nil)
	is.NoErr(l.Reserve(start, "t", 2, size))
	is.NoErr(l.Reserve(start, "t", 2, size)) // repeated
	is.Equal(reason(l.Reserve(start, "t", 3, size)), oleandervalve.Reason("earlierEpochHeld"))
	is.Equal(reason(l.Reserve(start, "u", 1, size)), oleandervalve.Reason("noCapacity"))
	is.True(l.Release(start, "t", 2) && !l.Release(start, "t", 2))
	is.Equal(reason(l.Reserve(start, "t", 2, size)), oleandervalve.Reason("staleEpoch")) // delayed
	is.NoErr(l.Reserve(start, "u", 1, size))
	is.Equal(l.FreeResources(), oleandervalve.Resources{CPU: 400, Memory: 90})
}

// BenchmarkAdmission measures a grant, an admission, its begin and its end.
func BenchmarkAdmission(b *testing.B) {
	l := ledgerWith(2)
	wants(l, "0", "a", 1)
	ids := make([]oleandervalve.RequestID, 1<<18)
	for i := range ids {
		ids[i] = oleandervalve.RequestID(fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		l.Grants(now)
		id := ids[i%len(ids)]
		err := l.Admit(now, instance.Admission{ID: id, Entry: "0", Epoch: 1, Endpoint: "e", Class: "a", Deadline: now.Add(time.Hour)})
		if err != nil || l.Begin(now, "0", 1, id) != nil {
			b.Fatal(err)
		}
		l.Finish(now, "0", 1, id)
	}
}

// Guards against a resize that exceeds the worker or reaches another epoch, and
// against a freed reservation that can't be taken again under its epoch.
func TestResizeAndFree(t *testing.T) {
	is := is.New(t)
	l := instance.NewLedger()
	size := func(cpu oleandervalve.Millicores) oleandervalve.Resources { return oleandervalve.Resources{CPU: cpu} }
	l.Rebuild(size(10), nil)
	is.NoErr(l.Reserve(start, "a/0", 1, size(4)))
	is.NoErr(l.Reserve(start, "b/0", 1, size(4)))
	is.True(l.Resize("a/0", 1, size(7)) != nil) // does not fit beside the other task
	is.True(l.Resize("a/0", 2, size(1)) != nil) // another epoch
	is.NoErr(l.Resize("b/0", 1, size(1)))
	is.NoErr(l.Resize("a/0", 1, size(7)))
	is.Equal(l.FreeResources(), size(2))
	is.True(l.Free("a/0", 1))
	is.NoErr(l.Reserve(start, "a/0", 1, size(9)))
	is.True(l.Resize("a/0", 1, size(10)) != nil)
}
