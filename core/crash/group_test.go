package crash

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against suspects that are isolated one by one although there are hundreds, and against
// groups of tasks that have crashed so often that they may be started only a few times more.
func TestGroupsOfSuspects(t *testing.T) {
	is := is.New(t)
	is.Equal(GroupSize(1), 1)
	is.Equal(GroupSize(maxSuspectsAlone), 1)
	is.Equal(GroupSize(400), maxGroup)
	crash := func(run oleandervalve.RunNumber) Incident { return Incident{Run: run, Crashed: true, Young: true} }
	var h History
	h.Add(crash(1))
	is.True(h.Groupable())
	h.Outlived(2)
	is.True(h.Groupable())
	h.Add(crash(3))
	is.True(h.Suspect() && h.Groupable()) // the second crash since it outlived an isolation
	h.Outlived(4)
	h.Add(crash(5))
	is.True(h.Suspect() && !h.Groupable()) // three crashes
	h = History{}
	h.Add(crash(1))
	h.Add(Incident{Run: 2})
	is.True(!h.Groupable())
	h = History{}
	h.Add(Incident{Run: 1})
	h.Add(crash(2))
	is.True(h.Suspect() && h.Groupable()) // it was not suspect when it started for the second time
	h.Add(crash(3))
	is.True(!h.Groupable())
}

// Guards against a crash in the isolation of a group that is held against other runs, or against
// one member as if it had been alone.
func TestIncidentsOfGroup(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	grouped := Isolation{Duration: minIsolation, Grouped: true}
	for _, c := range []struct {
		name      string
		ages      []int
		isolation []Isolation
		want      []int
	}{
		{"two members beside an older run", []int{10, 60, 400}, []Isolation{grouped, grouped, {}}, []int{0, 1}},
		{"a member that has outlived its isolation", []int{40, 60, 400}, []Isolation{grouped, {Grouped: true}, {}}, []int{0, 1}},
		{"a member of an earlier group", []int{40, 60, 900}, []Isolation{grouped, grouped, {Grouped: true}}, []int{0, 1}},
		{"a run that started beside them", []int{10, 60, 70}, []Isolation{grouped, grouped, {}}, []int{0, 1, 2}},
		{"noticed late", []int{2000, 2050, 2400}, []Isolation{grouped, grouped, {}}, []int{0, 1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := Report{Executor: first, Crashed: true}
			for i, age := range c.ages {
				r.Runs = append(r.Runs, Run{Task: name(i), Run: 1, Started: true, MinAge: ms(age - 5), MaxAge: ms(age)})
			}
			got := r.Incidents(func(x Run) Isolation { return c.isolation[x.Task.Index] })
			is.Equal(len(got), len(c.want))
			for _, i := range c.want {
				x, ok := got[i]
				is.True(ok && x.Crashed && !x.Isolated)
			}
		})
	}
}
