package endpoint

import (
	"fmt"
	"testing"
	"time"

	"oleandervalve"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// directory has n agents with one endpoint each, of which the first is near.
func directory(n int) *Directory {
	d := NewDirectory(WithLocation(oleandervalve.Location{DataCentre: "dc0"}))
	for i := range n {
		a := oleandervalve.AgentID(fmt.Sprint("a", i))
		d.Connect(start, a, 1, oleandervalve.Location{DataCentre: oleandervalve.DataCentreID(fmt.Sprint("dc", i))})
		d.Update(start, a, 1, true, []Status{{Endpoint: oleandervalve.EndpointID(fmt.Sprint("e", i)), Service: "s", Slots: 8}})
	}
	return d
}

func (d *Directory) grant(now time.Time, n int, class oleandervalve.ClassName) {
	for _, v := range d.order {
		d.Heartbeat(now, v.id, 1)
		for _, x := range v.list {
			d.Credit(now, v.id, 1, x.status.Endpoint, class, n, 2*time.Second)
		}
	}
}

// Guards against work for a suspect, leaving or draining agent, credits used
// after their validity or on an older connection, and a far endpoint preferred
// to an equal near one.
func TestCreditsInUse(t *testing.T) {
	is := is.New(t)
	d := directory(3)
	d.grant(start, 2, "")
	a, ok := d.Take(start, "s")
	is.True(ok && a.Endpoint == "e0") // the near one among equals
	d.Update(start, "a1", 1, false, []Status{{Endpoint: "e1", Service: "s", Slots: 8, Leaving: true}})
	is.Equal(d.Available(start, "s"), 3) // leaving
	d.Connect(start, "a0", 2, oleandervalve.Location{})
	d.Disconnect("a0", 1)                // an older connection
	d.Restore(start, a)                  // the same
	is.Equal(d.Available(start, "s"), 2) // credits went with their connection
	d.Credit(start.Add(time.Second), "a2", 1, "e2", "", 0, 2*time.Second)
	is.Equal(d.Available(start.Add(2500*time.Millisecond), "s"), 2) // renewed
	is.Equal(d.Available(start.Add(3*time.Second), "s"), 0)         // suspect and expired
	back := d.Expire(start.Add(3 * time.Second))
	is.True(len(back) == 1 && back[0].Count == 2 && back[0].Endpoint == "e2")
	d.Draining("a2", 1)
	d.grant(start, 1, "")
	is.Equal(d.Available(start, "s"), 0)
	is.Equal(d.Credit(start, "a2", 1, "new", "x", 3, time.Second)[0].Count, 3) // unlisted endpoint
}

// Guards against failing or slow endpoints that stay in use, too many ejected
// at once, and a full return without a successful probe.
func TestEjection(t *testing.T) {
	is := is.New(t)
	d := directory(6)
	now := start
	use := func(seconds int, fails func(e oleandervalve.EndpointID) bool, latency func(e oleandervalve.EndpointID) time.Duration) map[oleandervalve.EndpointID]int {
		used := map[oleandervalve.EndpointID]int{}
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			d.Expire(now)
			d.grant(now, 1, "")
			var list []Assignment
			for a, ok := d.Take(now, "s"); ok; a, ok = d.Take(now, "s") {
				list = append(list, a)
			}
			for _, a := range list {
				used[a.Endpoint]++
				d.Result(now, a, !fails(a.Endpoint), latency(a.Endpoint))
			}
		}
		return used
	}
	none := func(oleandervalve.EndpointID) bool { return false }
	even := func(oleandervalve.EndpointID) time.Duration { return 10 * time.Millisecond }
	slow := func(e oleandervalve.EndpointID) time.Duration {
		if e == "e5" {
			return time.Second
		}
		return 10 * time.Millisecond
	}
	use(1, func(e oleandervalve.EndpointID) bool { return e < "e3" }, even)
	is.Equal(len(d.Ejected("s")), 2) // three fail, a third of six may be ejected
	use(20, none, even)
	is.Equal(len(d.Ejected("s")), 0) // returned after probes
	is.True(use(4, none, slow)["e5"] < 40)
	is.Equal(d.Ejected("s"), []oleandervalve.EndpointID{"e5"}) // far above the median
	is.True(use(100, none, slow)["e5"] <= 5)                   // one probe per ejection, each twice as long
}

// Guards against credits kept from those who wait: what was granted for a class
// goes back when nothing waits, and each waiting request is told to three agents only.
func TestDemandAndSurplus(t *testing.T) {
	is := is.New(t)
	d := directory(6)
	list := []ClassDemand{{Service: "s", Class: "x", Waiting: 1}}
	is.Equal(len(d.Demands(start, list)), 3)
	is.Equal(len(d.Demands(start, list)), 0) // unchanged
	list[0].Waiting = 5000
	told := d.Demands(start, list)
	is.True(len(told) == 6 && told[0].Classes[0].Waiting == 16) // twice the slots
	list[0].Waiting = 4000
	is.Equal(len(d.Demands(start, list)), 0) // a long queue causes no message
	d.grant(start, 2, "x")
	d.grant(start, 1, "")
	is.Equal(len(d.Revoke(start, "a0", 1, "e0", 1)), 1)
	is.Equal(len(d.Surplus("s")), 6)
	is.Equal(d.Available(start, "s"), 5)     // idle credits stay
	is.Equal(len(d.Demands(start, list)), 6) // the agents took the return as the end of the demand
	is.Equal(d.Revoke(start, "a0", 1, "e0", 1)[0].Count, 0)
}
