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

// newLedgerWithEntries returns a ledger with one endpoint "e" of 8 slots and
// the entries "0" to n-1.
func newLedgerWithEntries(n int) *instance.Ledger {
	l := instance.NewLedger()
	l.Configure("s", []credit.ClassShare{{Class: "a", Weight: 3}, {Class: "f", Weight: 1, Floor: 0.5}})
	_ = l.Announce(start, oleandervalve.Announcement{Endpoint: "e", Service: "s", Slots: 8, Connections: 64})
	for i := range n {
		l.Connect(start, oleandervalve.EntryID(fmt.Sprint(i)), 1)
	}
	return l
}

// granted sums the granted credits under "<entry><class>" and counts renewals
// under "renewed".
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

func setDemand(l *instance.Ledger, entry oleandervalve.EntryID, class oleandervalve.ClassName, teams int) {
	l.Demand(start, entry, 1, []instance.ClassDemand{{Service: "s", Class: class, Waiting: 20, Teams: teams}})
}

// Guards against slots that stay free until demand arrives, grants that ignore
// floors, weights or the number of teams, and idle credits that aren't revoked
// while other entries wait.
func TestGrants(t *testing.T) {
	is := is.New(t)
	l := newLedgerWithEntries(3)
	idle := granted(l, start)
	is.True(len(idle) == 3 && idle["0"]+idle["1"]+idle["2"] == 8 && idle["0"] >= 2 && idle["1"] >= 2 && idle["2"] >= 2)
	setDemand(l, "0", "a", 1)
	is.Equal(len(l.Revokes(start)), 2) // from the entries without demand
	is.Equal(len(l.Revokes(start)), 0) // revoked only once
	l.Return(start, "1", 1, "e", "", idle["1"])
	is.Equal(granted(l, start)["0a"], idle["1"])

	l = newLedgerWithEntries(2)
	setDemand(l, "0", "a", 3)
	setDemand(l, "1", "f", 1)
	is.Equal(granted(l, start), map[string]int{"0a": 3, "1f": 5}) // floor of 4, the rest by weight
	l = newLedgerWithEntries(2)
	setDemand(l, "0", "a", 3)
	setDemand(l, "1", "a", 1)
	is.Equal(granted(l, start), map[string]int{"0a": 6, "1a": 2}) // by teams
	is.True(len(l.Disconnect(start, "0", 1)) == 0 && granted(l, start)["1a"] == 6)
}

// Guards against granting a slot again while the credit for it may still be
// used, and against idle credits that expire although they are renewed.
func TestCreditMargin(t *testing.T) {
	is := is.New(t)
	l := newLedgerWithEntries(1)
	is.Equal(granted(l, start)["0"], 8)
	at := start
	for i := range 5 {
		at = start.Add(time.Duration(i+1) * time.Second)
		is.Equal(granted(l, at), map[string]int{"0": 0, "renewed": 1})
	}
	is.Equal(len(granted(l, at.Add(instance.CreditValidity+instance.CreditMargin-1))), 0)
	is.Equal(granted(l, at.Add(instance.CreditValidity+instance.CreditMargin))["0"], 8)
}

// Guards against work for an endpoint that is leaving or stopped announcing, a
// late announcement that adds the endpoint again, and a drain that ends too
// early.
func TestLeaveAndDrain(t *testing.T) {
	is := is.New(t)
	l := newLedgerWithEntries(1)
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
	is.NoErr(admit("r3", start.Add(2*time.Second))) // announced again
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

// Guards against reserving the same resources for two tasks or for two epochs
// of a task, and against reservations before the running tasks are known.
func TestReservations(t *testing.T) {
	is := is.New(t)
	l := newLedgerWithEntries(0)
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

// BenchmarkAdmission measures the grant, admission, begin and end of a request.
func BenchmarkAdmission(b *testing.B) {
	l := newLedgerWithEntries(2)
	setDemand(l, "0", "a", 1)
	ids := make([]oleandervalve.RequestID, 1<<18)
	for i := range ids {
		ids[i] = oleandervalve.RequestID(fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if i%1000 == 0 {
			_ = l.Announce(now, oleandervalve.Announcement{Endpoint: "e", Service: "s", Slots: 8, Connections: 64})
		}
		l.Grants(now)
		id := ids[i%len(ids)]
		err := l.Admit(now, instance.Admission{ID: id, Entry: "0", Epoch: 1, Endpoint: "e", Class: "a", Deadline: now.Add(time.Hour)})
		if err != nil || l.Begin(now, "0", 1, id) != nil {
			b.Fatal(err)
		}
		l.Finish(now, "0", 1, id)
	}
}

// Guards against a resize that exceeds the worker's capacity or applies to
// another epoch, and against a freed reservation that can't be made again under
// its epoch.
func TestResizeAndReleaseUnfenced(t *testing.T) {
	is := is.New(t)
	l := instance.NewLedger()
	size := func(cpu oleandervalve.Millicores) oleandervalve.Resources { return oleandervalve.Resources{CPU: cpu} }
	l.Rebuild(size(10), nil)
	is.NoErr(l.Reserve(start, "a/0", 1, size(4)))
	is.NoErr(l.Reserve(start, "b/0", 1, size(4)))
	is.True(l.Resize("a/0", 1, size(7)) != nil) // does not fit together with the other task
	is.True(l.Resize("a/0", 2, size(1)) != nil) // another epoch
	is.NoErr(l.Resize("b/0", 1, size(1)))
	is.NoErr(l.Resize("a/0", 1, size(7)))
	is.Equal(l.FreeResources(), size(2))
	is.True(l.ReleaseUnfenced("a/0", 1))
	is.NoErr(l.Reserve(start, "a/0", 1, size(9)))
	is.True(l.Resize("a/0", 1, size(10)) != nil)
}

// Guards against work for an endpoint that left while the agent was suspended.
func TestNoAdmissionOnAnOldAnnouncement(t *testing.T) {
	for _, tt := range []struct {
		suspended time.Duration
		admitted  bool
	}{
		{2 * time.Second, true},
		{5 * time.Second, false},
		{15 * time.Second, false},
		{15 * time.Minute, false},
	} {
		t.Run(tt.suspended.String(), func(t *testing.T) {
			is := is.New(t)
			l := newLedgerWithEntries(1)
			now := start.Add(tt.suspended)
			request := func(id oleandervalve.RequestID) error {
				return l.Admit(now, instance.Admission{ID: id, Entry: "0", Epoch: 1, Endpoint: "e", Class: "a", Deadline: now.Add(time.Second)})
			}
			err := request("waiting")
			is.Equal(err == nil, tt.admitted)
			if tt.admitted {
				return
			}
			var notRun *oleandervalve.NotRunError
			is.True(errors.As(err, &notRun))
			is.Equal(notRun.Reason, oleandervalve.Reason("endpointLeaving"))
			is.NoErr(l.Announce(now, oleandervalve.Announcement{Endpoint: "e", Service: "s", Slots: 8, Connections: 64}))
			is.NoErr(request("next"))
		})
	}
}
