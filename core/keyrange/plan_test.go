package keyrange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

func testOwners(names ...string) []Owner {
	var out []Owner
	for _, n := range names {
		out = append(out, Owner{Agent: oleandervalve.AgentID(n), Incarnation: 1})
	}
	return out
}

func decodeMap(t *testing.T, v oleandervalve.Version, x oleandervalve.Transaction, at time.Time) Map {
	t.Helper()
	m, err := Decode(oleandervalve.Row{Key: MapKey, Value: x.Puts[0].Value, Version: v, WrittenAt: at})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Guards against a takeover time that is earlier than the commit or that a later
// map change alters, and against ranges that change owner although their owner is
// alive.
func TestTakeOverAndTransfers(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(1_800_000_000_000).Add(300 * time.Microsecond)
	x, ok := Map{}.Assign("1", testOwners("a", "b", "c"))
	is.True(ok)
	m := decodeMap(t, 1, x, at)
	lease := oleandervalve.Row{Key: LeaseKey("a"), Version: 9, Value: []byte(leaseValue(testOwners("a")[0]))}
	failed := FailedOwner{Owner: testOwners("a")[0], LeaseRow: lease, Proof: ProofLeaseExpired}
	x, ok = m.TakeOver("2", failed, DefaultLease(), testOwners("a", "b", "c"))
	is.True(ok)
	is.Equal(x.Conditions, []oleandervalve.Condition{
		{Key: MapKey, Version: 1}, {Key: LeaseKey("a"), Version: 9, UnwrittenFor: 11*time.Minute + 30*time.Second},
	}) // The table itself checks that the lease has expired.
	is.Equal(string(x.Puts[1].Value), revoked) // A renewal in flight fails.
	n := decodeMap(t, 2, x, at)
	for i := range Count {
		r := ID(i)
		if m.Get(r).Owner == failed.Owner {
			is.True(n.Get(r).TakenOverAt.After(at)) // Rounded up.
		} else {
			is.Equal(n.Get(r), m.Get(r)) // Live owners keep their ranges.
		}
	}
	is.Equal(len(n.Ranges(failed.Owner)), 0)
	failed.LeaseRow.Value = []byte(leaseValue(Owner{Agent: "a", Incarnation: 2}))
	_, ok = m.TakeOver("3", failed, DefaultLease(), testOwners("b"))
	is.True(!ok) // A lease row written by a restarted agent does not prove that the lease of the earlier incarnation expired.
	transfers := n.PlanTransfers(testOwners("b", "c", "d"), nil)
	is.Equal(len(transfers), Count/3) // Only the new candidate's share is transferred.
	x, err := n.Reassign("4", 77, n.Ranges(testOwners("b")[0]), testOwners("b")[0], testOwners("d")[0])
	is.NoErr(err)
	p := decodeMap(t, 3, x, at.Add(time.Hour))
	for i := range Count {
		is.True(p.Get(ID(i)).TakenOverAt.Equal(n.Get(ID(i)).TakenOverAt)) // A planned transfer keeps the takeover time.
	}
	is.Equal(len(p.PlanTransfers(testOwners("c", "d"), testOwners("c"))), len(p.Ranges(testOwners("c")[0])))
	_, err = p.Reassign("5", 78, p.Ranges(testOwners("c")[0]), testOwners("b")[0], testOwners("d")[0])
	is.True(err != nil) // Only the current owner can transfer a range.
	is.Equal(p.SelectOwners(testOwners("a", "c", "d", "e"), 3), testOwners("c", "d", "a"))
	o := Observation{Map: p, At: at, MaxOwners: 8, Leases: []oleandervalve.Row{
		{Version: 1, Value: []byte(leaseValue(testOwners("c")[0])), WrittenAt: at.Add(-11 * time.Minute)},
		{Version: 1, Value: []byte(leaseValue(testOwners("d")[0])), WrittenAt: at},
	}}
	is.True(o.Next("6", DefaultLease()).Commit == nil) // An owner that misses renewals keeps its ranges until its lease has expired.
	o.At = at.Add(30 * time.Second)
	o.Leases[1].WrittenAt = o.At
	is.Equal(o.Next("6", DefaultLease()).FailedOwner, testOwners("c")[0])
	o.Terminated = map[Owner]bool{testOwners("c")[0]: true}
	o.At = at
	is.Equal(o.Next("6", DefaultLease()).FailedOwner, testOwners("c")[0]) // After a proven termination, the takeover does not wait for the lease.
}

// Guards against a lease that counts from the reply, that a renewal with unknown
// outcome extends, or that is held after another process overwrote the row.
func TestLease(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	o := DefaultLease()
	l := NewLease(testOwners("a")[0], o, oleandervalve.Row{Version: 4}, nil)
	x, ok := l.Renew(now, "1")
	is.True(ok)
	is.True(!l.Valid(now))
	l.HandleResult("1", oleandervalve.Committed{}, &oleandervalve.UnknownOutcomeError{})
	resent, ok := l.Renew(now.Add(time.Minute), "2")
	is.True(ok)
	is.Equal(resent, x) // The same transaction is sent until its outcome is known.
	l.HandleResult("1", oleandervalve.Committed{}, &oleandervalve.UnavailableError{})
	l.Observe(oleandervalve.Row{Version: 5, MutationID: "1"})
	is.True(l.Valid(now.Add(o.Duration - 1)))
	is.True(!l.Valid(now.Add(o.Duration))) // The duration counts from before the first copy was sent.
	l.Observe(oleandervalve.Row{Version: 4})
	is.True(!l.Lost()) // A read of an old version does not mean that the lease is lost.
	x, _ = l.Renew(now.Add(time.Minute), "3")
	l.HandleResult(x.ID, oleandervalve.Committed{}, &oleandervalve.ConflictError{Current: oleandervalve.Row{Version: 6, Value: []byte(revoked)}})
	is.True(l.Lost() && !l.Valid(now.Add(time.Minute)))
}

// Guards against an owner that was suspended and admits keys after its ranges were taken over, because the time of day was set back.
func TestLeaseEndsDuringSuspension(t *testing.T) {
	for _, c := range []struct {
		suspended time.Duration
		valid     bool
	}{
		{5 * time.Second, true}, {15 * time.Second, true}, {15 * time.Minute, false},
	} {
		t.Run(c.suspended.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.UnixMilli(1_800_000_000_000)
			uptime := time.Hour
			l := NewLease(testOwners("a")[0], DefaultLease(), oleandervalve.Row{Version: 4}, func() time.Duration { return uptime })
			x, ok := l.Renew(now, "1")
			is.True(ok)
			l.HandleResult(x.ID, oleandervalve.Committed{Versions: []oleandervalve.Version{5}}, nil)
			is.True(l.Valid(now))
			uptime += c.suspended
			is.Equal(l.Valid(now), c.valid)
		})
	}
}
