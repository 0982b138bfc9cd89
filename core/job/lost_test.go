package job

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against a task that crashes the workers that start it and is started on one after
// the other without end, and against tasks that are parked because they lose workers to
// ordinary failures over a long time.
func TestTaskThatLosesWorkersIsParked(t *testing.T) {
	for _, c := range []struct {
		name    string
		between time.Duration
		want    State
	}{
		{"in quick succession", time.Minute, StateParked},
		{"once in two hours", 2 * time.Hour, StateQueued},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			s := Stored{Record: Record{Job: "j", Spec: oleandervalve.TaskSpec{Task: "j/0"}, State: StateQueued}}
			for range maxLostWorkers {
				now = now.Add(c.between)
				if now.Before(s.NotBefore) {
					now = s.NotBefore
				}
				assigned, err := s.Assign(now, "m", Grant{Worker: "w"}, StoredJob{Header: Header{Job: "j"}})
				is.NoErr(err)
				s.Record = assigned.After
				lost, err := s.Lost(now, "m", End{Run: s.Run(), Started: true, Reason: ReasonWorkerLost}, DefaultBackoff)
				is.NoErr(err)
				s.Record = lost.After
			}
			is.Equal(s.State, c.want)
			if c.want == StateParked {
				is.Equal(s.Reason, ReasonWorkersLost)
				unparked, err := s.Unpark("m")
				is.NoErr(err)
				is.Equal(unparked.After.LostWorkers, 0)
			}
		})
	}
}
