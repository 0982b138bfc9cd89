package crash

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against tasks that crash executors without end, and against tasks that are given
// up although they only shared executors with such a task.
func TestHistoryOfTask(t *testing.T) {
	crashed := func(n oleandervalve.RunNumber, young, isolated bool) Incident {
		return Incident{Run: n, Crashed: true, Young: young, Isolated: isolated, MaxAge: 30 * time.Millisecond}
	}
	unknown := func(n oleandervalve.RunNumber) Incident { return Incident{Run: n} }
	for _, c := range []struct {
		name      string
		incidents []Incident
		outlived  oleandervalve.RunNumber
		suspect   bool
		giveUp    bool
	}{
		{"nothing known", nil, 0, false, false},
		{"one crash while it worked", []Incident{crashed(1, false, false)}, 0, false, false},
		{"one crash at its start", []Incident{crashed(1, true, false)}, 0, true, false},
		{"one crash at its start, outlived since", []Incident{crashed(1, true, false)}, 2, false, false},
		{"two crashes while it worked", []Incident{crashed(1, false, false), crashed(2, false, false)}, 0, true, false},
		{"two crashes, isolated in the second", []Incident{crashed(1, true, false), crashed(2, true, true)}, 0, true, true},
		{"one crash and one unknown loss in isolation", []Incident{crashed(1, true, false), {Run: 2, Isolated: true}}, 0, true, false},
		{"the same run twice", []Incident{crashed(1, true, true), crashed(1, true, true)}, 0, true, false},
		{"an unknown loss that turns out to be a crash", []Incident{crashed(1, true, false), {Run: 2, Isolated: true}, crashed(2, true, false)}, 0, true, true},
		{"a crash that is reported again as unknown", []Incident{crashed(1, true, false), unknown(1), unknown(2)}, 0, true, false},
		{"four crashes beside others", []Incident{crashed(1, true, false), crashed(2, false, false), crashed(3, false, false), crashed(4, false, false)}, 0, true, true},
		{"four crashes, outlived in three", []Incident{crashed(1, true, false), crashed(2, false, false), crashed(3, false, false), crashed(4, false, false)}, 4, true, false},
		{"six unknown losses", []Incident{unknown(1), unknown(2), unknown(3), unknown(4), unknown(5), unknown(6)}, 0, true, false},
		{"two crashes and three unknown losses", []Incident{crashed(1, true, false), unknown(2), unknown(3), unknown(4), crashed(5, false, false)}, 0, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var h History
			for n, x := range c.incidents {
				if n == 1 {
					h.Outlived(c.outlived)
				}
				h.Add(x)
			}
			h.Outlived(c.outlived)
			is.Equal(h.Suspect(), c.suspect)
			is.Equal(h.GiveUp(), c.giveUp)
			is.True(h.Isolation() >= minIsolation)
			is.True(h.Isolation() <= MaxIsolation)
		})
	}
}

// Guards against a crash that is attributed to all runs of an executor, or to none.
func TestIncidentsOfReport(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	run := func(index int, started bool, minAge, maxAge time.Duration) Run {
		return Run{Task: name(index), Run: 1, Started: started, MinAge: minAge, MaxAge: maxAge}
	}
	type result struct{ young, isolated bool }
	for _, c := range []struct {
		name     string
		runs     []Run
		isolated int
		want     map[int]result
	}{
		{
			"the youngest are suspect",
			[]Run{run(0, true, ms(6), ms(12)), run(1, true, ms(20), ms(26)), run(2, true, ms(90), ms(96)), run(3, true, ms(2000), ms(2006))},
			-1,
			map[int]result{0: {young: true}, 1: {young: true}, 2: {}, 3: {}},
		},
		{
			"the noticing was late",
			[]Run{run(0, true, ms(5), ms(1700)), run(1, true, ms(300), ms(2000))},
			-1,
			map[int]result{0: {young: true}, 1: {}},
		},
		{
			"an order without an answer",
			[]Run{run(0, false, 0, ms(4)), run(1, true, ms(100), ms(104))},
			-1,
			map[int]result{0: {young: true}, 1: {young: true}},
		},
		{"a run from long ago doesn't count", []Run{run(0, true, maxCountedAge, maxCountedAge+ms(10))}, -1, map[int]result{}},
		{"an isolated run is alone", []Run{run(0, true, ms(4), ms(10)), run(1, true, ms(110), ms(116))}, 0, map[int]result{0: {young: true, isolated: true}}},
		{"an isolated run may have ended before", []Run{run(0, true, ms(4), ms(1800)), run(1, true, ms(104), ms(1900))}, 0, map[int]result{0: {young: true}, 1: {young: true}}},
		{"another run started beside it", []Run{run(0, true, ms(4), ms(10)), run(1, true, ms(14), ms(20))}, 0, map[int]result{0: {young: true}, 1: {young: true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := Report{Executor: first, Crashed: true, Runs: c.runs}
			got := map[int]result{}
			isolation := func(x Run) Isolation {
				if c.isolated >= 0 && x == c.runs[c.isolated] {
					return Isolation{Duration: minIsolation}
				}
				return Isolation{}
			}
			for i, x := range r.Incidents(isolation) {
				is.Equal(x.Crashed, c.runs[i].Started)
				got[i] = result{x.Young, x.Isolated}
			}
			is.Equal(got, c.want)
		})
	}
}
