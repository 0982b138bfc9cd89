package endpoint

import (
	"fmt"
	"testing"
	"time"

	"oleandervalve"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestDirectory returns a directory of n agents with one endpoint each, of
// which the first is in the entry's data centre.
func newTestDirectory(n int) *Directory {
	d := NewDirectory(WithLocation(oleandervalve.Location{DataCentre: "dc0"}))
	for i := range n {
		a := oleandervalve.AgentID(fmt.Sprint("a", i))
		d.Connect(start, a, 1, oleandervalve.Location{DataCentre: oleandervalve.DataCentreID(fmt.Sprint("dc", i))})
		d.Update(start, a, 1, true, []Status{{Endpoint: oleandervalve.EndpointID(fmt.Sprint("e", i)), Service: "s", Slots: 8}})
	}
	return d
}

// grantAll records a heartbeat of each agent and n credits for each endpoint.
func (d *Directory) grantAll(now time.Time, n int, class oleandervalve.ClassName) {
	for _, v := range d.sortedAgents {
		d.Heartbeat(now, v.id, 1)
		for _, x := range v.sortedEndpoints {
			d.AddCredits(now, v.id, 1, x.status.Endpoint, class, n, 2*time.Second)
		}
	}
}

// Guards against work for a suspect, leaving or draining agent, credits used
// after they expired or on an older connection, and a far endpoint preferred to
// an equal near one.
func TestCreditUse(t *testing.T) {
	is := is.New(t)
	d := newTestDirectory(3)
	d.grantAll(start, 2, "")
	a, ok := d.Take(start, "s")
	is.True(ok && a.Endpoint == "e0") // the near one of equal endpoints
	d.Update(start, "a1", 1, false, []Status{{Endpoint: "e1", Service: "s", Slots: 8, Leaving: true}})
	is.Equal(d.AvailableCredits(start, "s"), 3) // leaving
	d.Connect(start, "a0", 2, oleandervalve.Location{})
	d.Disconnect("a0", 1)                       // an older connection
	d.Restore(start, a)                         // a credit of the older connection
	is.Equal(d.AvailableCredits(start, "s"), 2) // credits were dropped with their connection
	d.AddCredits(start.Add(time.Second), "a2", 1, "e2", "", 0, 2*time.Second)
	is.Equal(d.AvailableCredits(start.Add(2500*time.Millisecond), "s"), 2) // renewed
	is.Equal(d.AvailableCredits(start.Add(3*time.Second), "s"), 0)         // suspect and expired
	returned := d.Expire(start.Add(3 * time.Second))
	is.True(len(returned) == 1 && returned[0].Count == 2 && returned[0].Endpoint == "e2")
	d.SetDraining("a2", 1)
	d.grantAll(start, 1, "")
	is.Equal(d.AvailableCredits(start, "s"), 0)
	is.Equal(d.AddCredits(start, "a2", 1, "new", "x", 3, time.Second)[0].Count, 3) // unlisted endpoint
}

// Guards against failing or slow endpoints that stay in use, too many ejected
// at once, and recovery without successful probes.
func TestEjection(t *testing.T) {
	is := is.New(t)
	d := newTestDirectory(6)
	now := start
	sendRequests := func(seconds int, fails func(e oleandervalve.EndpointID) bool, latency func(e oleandervalve.EndpointID) time.Duration) map[oleandervalve.EndpointID]int {
		used := map[oleandervalve.EndpointID]int{}
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			d.Expire(now)
			d.grantAll(now, 1, "")
			var list []Assignment
			for a, ok := d.Take(now, "s"); ok; a, ok = d.Take(now, "s") {
				list = append(list, a)
			}
			for _, a := range list {
				used[a.Endpoint]++
				d.RecordResult(now, a, !fails(a.Endpoint), latency(a.Endpoint))
			}
		}
		return used
	}
	noFailures := func(oleandervalve.EndpointID) bool { return false }
	uniformLatency := func(oleandervalve.EndpointID) time.Duration { return 10 * time.Millisecond }
	slowE5 := func(e oleandervalve.EndpointID) time.Duration {
		if e == "e5" {
			return time.Second
		}
		return 10 * time.Millisecond
	}
	sendRequests(1, func(e oleandervalve.EndpointID) bool { return e < "e3" }, uniformLatency)
	is.Equal(len(d.Ejected("s")), 2) // three fail, a third of six may be ejected
	sendRequests(20, noFailures, uniformLatency)
	is.Equal(len(d.Ejected("s")), 0) // healthy again after probes
	is.True(sendRequests(4, noFailures, slowE5)["e5"] < 40)
	is.Equal(d.Ejected("s"), []oleandervalve.EndpointID{"e5"}) // far above the median
	is.True(sendRequests(100, noFailures, slowE5)["e5"] <= 5)  // one probe per ejection, whose duration doubles
}

// Guards against keeping credits that other entries need: credits granted for a
// class are returned when no request waits, and each waiting request is
// reported to three agents only.
func TestDemandAndSurplus(t *testing.T) {
	is := is.New(t)
	d := newTestDirectory(6)
	list := []ClassDemand{{Service: "s", Class: "x", Waiting: 1}}
	is.Equal(len(d.DemandUpdates(start, list)), 3)
	is.Equal(len(d.DemandUpdates(start, list)), 0) // unchanged
	list[0].Waiting = 5000
	updates := d.DemandUpdates(start, list)
	is.True(len(updates) == 6 && updates[0].Classes[0].Waiting == 16) // twice the slots
	list[0].Waiting = 4000
	is.Equal(len(d.DemandUpdates(start, list)), 0) // changes of a long queue cause no message
	d.grantAll(start, 2, "x")
	d.grantAll(start, 1, "")
	is.Equal(len(d.Revoke(start, "a0", 1, "e0", 1)), 1)
	is.Equal(len(d.TakeSurplus("s")), 6)
	is.Equal(d.AvailableCredits(start, "s"), 5)    // idle credits stay
	is.Equal(len(d.DemandUpdates(start, list)), 6) // the agents treat the return as the end of the demand
	is.Equal(d.Revoke(start, "a0", 1, "e0", 1)[0].Count, 0)
}
