package keyrange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

func homes(names ...string) []Home {
	var out []Home
	for _, n := range names {
		out = append(out, Home{Agent: oleandervalve.AgentID(n), Incarnation: 1})
	}
	return out
}

func decoded(t *testing.T, v oleandervalve.Version, x oleandervalve.Transaction, at time.Time) Map {
	t.Helper()
	m, err := Decode(oleandervalve.Row{Key: MapKey, Value: x.Puts[0].Value, Version: v, WrittenAt: at})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Guards against a T that is earlier than the commit or that a later change of
// the map alters, and against ranges that move although their home stays.
func TestTakeOverAndMoves(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(1_800_000_000_000).Add(300 * time.Microsecond)
	x, ok := Map{}.Assign("1", homes("a", "b", "c"))
	is.True(ok)
	m := decoded(t, 1, x, at)
	lease := oleandervalve.Row{Key: LeaseKey("a"), Version: 9, Value: []byte(leaseValue(homes("a")[0]))}
	lost := Lost{Home: homes("a")[0], Lease: lease, Proof: ProofExpired}
	x, ok = m.TakeOver("2", lost, DefaultLease(), homes("a", "b", "c"))
	is.True(ok)
	is.Equal(x.Conditions, []oleandervalve.Condition{
		{Key: MapKey, Version: 1}, {Key: LeaseKey("a"), Version: 9, UnwrittenFor: 11*time.Minute + 30*time.Second},
	}) // The table itself checks that the lease has run out.
	is.Equal(string(x.Puts[1].Value), revoked) // A renewal under way fails.
	n := decoded(t, 2, x, at)
	for i := range Count {
		r := ID(i)
		if m.Get(r).Home == lost.Home {
			is.True(n.Get(r).Since.After(at)) // Rounded up.
		} else {
			is.Equal(n.Get(r), m.Get(r)) // Ranges of live homes stay.
		}
	}
	is.Equal(len(n.Ranges(lost.Home)), 0)
	lost.Lease.Value = []byte(leaseValue(Home{Agent: "a", Incarnation: 2}))
	_, ok = m.TakeOver("3", lost, DefaultLease(), homes("b"))
	is.True(!ok) // The row of a restarted agent proves no expiry of the earlier run.
	moves := n.Moves(homes("b", "c", "d"), nil)
	is.Equal(len(moves), Count/3) // Only the newcomer's share moves.
	x, err := n.HandOver("4", 77, n.Ranges(homes("b")[0]), homes("b")[0], homes("d")[0])
	is.NoErr(err)
	p := decoded(t, 3, x, at.Add(time.Hour))
	for i := range Count {
		is.True(p.Get(ID(i)).Since.Equal(n.Get(ID(i)).Since)) // A planned move keeps T.
	}
	is.Equal(len(p.Moves(homes("c", "d"), homes("c"))), len(p.Ranges(homes("c")[0])))
	_, err = p.HandOver("5", 78, p.Ranges(homes("c")[0]), homes("b")[0], homes("d")[0])
	is.True(err != nil) // Only the home itself hands over.
	is.Equal(p.Choose(homes("a", "c", "d", "e"), 3), homes("c", "d", "a"))
	o := Observation{Map: p, At: at, MaxHomes: 8, Leases: []oleandervalve.Row{
		{Version: 1, Value: []byte(leaseValue(homes("c")[0])), WrittenAt: at.Add(-11 * time.Minute)},
		{Version: 1, Value: []byte(leaseValue(homes("d")[0])), WrittenAt: at},
	}}
	is.True(o.Next("6", DefaultLease()).Commit == nil) // A silent home keeps its ranges until its lease has run out.
	o.At = at.Add(30 * time.Second)
	o.Leases[1].WrittenAt = o.At
	is.Equal(o.Next("6", DefaultLease()).Lost, homes("c")[0])
	o.Ended = map[Home]bool{homes("c")[0]: true}
	o.At = at
	is.Equal(o.Next("6", DefaultLease()).Lost, homes("c")[0]) // A proven end needs no wait.
}

// Guards against a lease counted from the reply, extended by an unresolved
// renewal, or held after another process took the row.
func TestLease(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	o := DefaultLease()
	l := NewLease(homes("a")[0], o, oleandervalve.Row{Version: 4})
	x, ok := l.Renew(now, "1")
	is.True(ok)
	is.True(!l.Valid(now))
	l.Result("1", oleandervalve.Committed{}, &oleandervalve.UnknownOutcomeError{})
	again, ok := l.Renew(now.Add(time.Minute), "2")
	is.True(ok)
	is.Equal(again, x) // The same transaction until its outcome is known.
	l.Result("1", oleandervalve.Committed{}, &oleandervalve.UnavailableError{})
	l.Observe(oleandervalve.Row{Version: 5, MutationID: "1"})
	is.True(l.Valid(now.Add(o.Duration - 1)))
	is.True(!l.Valid(now.Add(o.Duration))) // Counted from before the first copy was sent.
	l.Observe(oleandervalve.Row{Version: 4})
	is.True(!l.Lost()) // An old read proves nothing.
	x, _ = l.Renew(now.Add(time.Minute), "3")
	l.Result(x.ID, oleandervalve.Committed{}, &oleandervalve.ConflictError{Current: oleandervalve.Row{Version: 6, Value: []byte(revoked)}})
	is.True(l.Lost() && !l.Valid(now.Add(time.Minute)))
}
