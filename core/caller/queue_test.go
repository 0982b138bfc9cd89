package caller

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleandervalve"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A fixed seed makes the property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(id int, class, team, caller string, timeout time.Duration) Request {
	return Request{
		ID: oleandervalve.RequestID(fmt.Sprint(id)), Class: oleandervalve.ClassName(class), Team: oleandervalve.TeamID(team),
		Caller: oleandervalve.CallerID(caller), Arrived: start, Deadline: start.Add(timeout),
	}
}

// Guards against a class, team or caller that gets more than its share by
// sending many requests, and against deadlines that override fairness. Of the
// first 60 served requests, each flow must have the expected number.
func TestShares(t *testing.T) {
	type flow struct {
		class, team, caller string
		count               int
		timeout             time.Duration
		want                int
	}
	policies := []ClassPolicy{{Class: "a", Weight: 2}, {Class: "b", Weight: 1}, {Class: "f", Weight: 1, Floor: 0.5}}
	for name, flows := range map[string][]flow{
		"classes by weight":           {{"a", "t", "c", 500, time.Hour, 40}, {"b", "t", "c", 500, time.Minute, 20}},
		"floor before weight":         {{"a", "t", "c", 500, time.Hour, 20}, {"b", "t", "c", 500, time.Hour, 10}, {"f", "t", "c", 500, time.Hour, 30}},
		"unused floor goes to others": {{"a", "t", "c", 500, time.Hour, 54}, {"f", "t", "c", 6, time.Hour, 6}},
		"teams of one class":          {{"a", "x", "c", 900, time.Minute, 40}, {"a", "y", "c", 20, time.Hour, 20}},
		"weight of a team":            {{"a", "heavy", "c", 500, time.Hour, 45}, {"a", "x", "c", 500, time.Minute, 15}},
		"callers of one team":         {{"a", "x", "c", 900, time.Minute, 30}, {"a", "x", "d", 50, time.Hour, 30}},
		"urgent within a caller":      {{"a", "x", "c", 100, time.Hour, 30}, {"a", "x", "c", 30, time.Minute, 30}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := NewQueue()
			q.Configure(policies)
			q.ConfigureTeams(map[oleandervalve.TeamID]float64{"heavy": 3})
			owner := map[oleandervalve.RequestID]int{}
			for i, f := range flows {
				for j := range f.count {
					r := request(1000*i+j, f.class, f.team, f.caller, f.timeout)
					owner[r.ID] = i
					is.NoErr(q.Push(start, r))
				}
			}
			got := make([]int, len(flows))
			for range 60 {
				r, ok := q.Pop(start, "")
				is.True(ok)
				got[owner[r.ID]]++
			}
			for i, f := range flows {
				is.Equal(got[i], f.want) // share of the flow
			}
		})
	}
}

// Guards against requests that are served twice, lost or served after their
// deadline, and against a corrupted heap after removals.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, waiting := NewQueue(), start, map[oleandervalve.RequestID]Request{}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var popped []Request
		end := func(r Request, expired bool) {
			if _, ok := waiting[r.ID]; !ok || expired == r.Deadline.After(now) {
				t.Fatalf("unexpected end of request %s at %v, expired %v", r.ID, now.Sub(start), expired)
			}
			delete(waiting, r.ID)
		}
		for i := range 300 {
			switch n := random.IntN(10); {
			case n < 5:
				r := request(i, fmt.Sprint(random.IntN(3)), fmt.Sprint(random.IntN(4)), fmt.Sprint(random.IntN(3)), 0)
				r.Arrived, r.Deadline = now, now.Add(time.Duration(random.IntN(300))*time.Millisecond)
				if q.Push(now, r) == nil {
					waiting[r.ID] = r
				}
			case n < 7:
				if r, ok := q.Pop(now, ""); ok {
					end(r, false)
					popped = append(popped, r)
				}
			case n < 8 && len(popped) > 0:
				r := popped[len(popped)-1]
				popped = popped[:len(popped)-1]
				if q.Requeue(now, r) == nil {
					waiting[r.ID] = r
				}
			case n < 9:
				id := oleandervalve.RequestID(fmt.Sprint(random.IntN(i + 1)))
				if _, ok := waiting[id]; ok != q.Remove(id) {
					t.Fatalf("wrong result of Remove for request %s", id)
				}
				delete(waiting, id)
			default:
				now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
				for _, r := range q.Expire(now) {
					end(r, true)
				}
			}
			if q.Len()+len(q.expired) != len(waiting) {
				t.Fatalf("%d requests wait instead of %d", q.Len(), len(waiting))
			}
		}
	})
}

// Guards against a team or caller that fills the queue of its class, and
// against a refusal without a retry time.
func TestBounds(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.Configure([]ClassPolicy{{Class: "a", MaxQueued: 100}})
	accepted := 0
	var refused *oleandervalve.NotRunError
	for i := range 200 {
		if err := q.Push(start, request(i, "a", "flood", fmt.Sprint(i%2), time.Hour)); err == nil {
			accepted++
		} else {
			is.True(errors.As(err, &refused))
			is.True(refused.RetryAfter > 0) // a full queue names a retry time
		}
	}
	is.True(accepted <= 50)                                             // half of the places are left to other teams
	is.NoErr(q.Push(start, request(999, "a", "other", "c", time.Hour))) // another team still finds a place
	is.True(q.Push(start, request(998, "x", "t", "c", time.Hour)) != nil)
}

// Guards against queueing requests that can't meet their deadline, and against a
// queue that keeps refusing requests after an outage has ended.
func TestDeadlineRefusal(t *testing.T) {
	is := is.New(t)
	q, now := NewQueue(), start
	for i := range 200 {
		is.NoErr(q.Push(now, request(i, "a", "t", "c", time.Hour)))
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		_, ok := q.Pop(now, "a")
		is.True(ok)
		q.Finished(now, "a", 10*time.Millisecond)
	}
	// 100 waiting requests at 100/s mean a wait of one second.
	var refused *oleandervalve.NotRunError
	is.True(errors.As(q.Push(now, request(500, "a", "t", "c", now.Sub(start)+900*time.Millisecond)), &refused))
	is.Equal(refused.Reason, oleandervalve.Reason("deadlineTooShort"))
	is.True(refused.RetryAfter >= 100*time.Millisecond && refused.RetryAfter < time.Second)
	is.NoErr(q.Push(now, request(501, "a", "t", "c", now.Sub(start)+2*time.Second)))
	now = start.Add(2 * time.Hour)
	is.Equal(len(q.Expire(now)), 101)
	is.NoErr(q.Push(now, request(502, "a", "t", "c", 2*time.Hour+time.Second))) // an empty queue admits without a deadline check
}

// Guards against retries that multiply the load of a failing service.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(0.25)
	for range initialRetryTokens {
		is.True(b.Take())
	}
	is.True(!b.Take()) // the budget is used up without successes
	for range 8 {
		b.Succeeded()
	}
	is.Equal([]bool{b.Take(), b.Take(), b.Take()}, []bool{true, true, false}) // two retries per eight successes
}

// BenchmarkQueue measures one enqueue and one dequeue with 10,000 waiting requests.
func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{10, 290, 3000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			q := NewQueue()
			q.Configure([]ClassPolicy{{Class: "a", MaxQueued: 1 << 20, Weight: 2}, {Class: "b", MaxQueued: 1 << 20, Floor: 0.3}})
			for i := range 10_000 {
				_ = q.Push(start, request(i, []string{"a", "b"}[i%2], fmt.Sprint("team", i/2%teams), fmt.Sprint("c", i%7), time.Hour))
			}
			b.ReportAllocs()
			for b.Loop() {
				r, ok := q.Pop(start, "")
				if err := q.Push(start, r); !ok || err != nil {
					b.Fatal(ok, err)
				}
				q.Finished(start, r.Class, time.Millisecond)
			}
		})
	}
}
