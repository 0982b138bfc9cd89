package job

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

// Guards against a transition that is permitted in a state, for an epoch or in a
// cancelled job where it could place a task twice or lose the fact that it ran.
func TestTransitionsByState(t *testing.T) {
	now := time.Unix(1000, 0)
	uncancelled := StoredJob{Header: Header{Job: "j"}, Version: 1}
	cancelled := StoredJob{Header: Header{Job: "j", Cancelled: true}, Version: 2}
	run := Run{Task: "j/0", Epoch: 3}
	stale := Run{Task: "j/0", Epoch: 2}
	transitions := map[string]func(s Stored) (Change, error){
		"assign":          func(s Stored) (Change, error) { return s.Assign(now, "m", Grant{Worker: "w"}, uncancelled) },
		"assignCancelled": func(s Stored) (Change, error) { return s.Assign(now, "m", Grant{Worker: "w"}, cancelled) },
		"started":         func(s Stored) (Change, error) { return s.Started("m", run) },
		"beginEviction":   func(s Stored) (Change, error) { return s.BeginEviction("m", run, "r") },
		"evicted":         func(s Stored) (Change, error) { return s.Evicted("m", End{Run: run}) },
		"requeue":         func(s Stored) (Change, error) { return s.Requeue("m", End{Run: run}) },
		"requeueStale":    func(s Stored) (Change, error) { return s.Requeue("m", End{Run: stale}) },
		"finish":          func(s Stored) (Change, error) { return s.Finish("m", End{Run: run}) },
		"finishStale":     func(s Stored) (Change, error) { return s.Finish("m", End{Run: stale}) },
		"fail":            func(s Stored) (Change, error) { return s.Fail(now, "m", End{Run: run}, DefaultBackoff) },
		"cancel":          func(s Stored) (Change, error) { return s.Cancel("m", End{Run: run}, cancelled) },
		"cancelUnmarked":  func(s Stored) (Change, error) { return s.Cancel("m", End{Run: run}, uncancelled) },
		"park":            func(s Stored) (Change, error) { return s.Park("m", "r") },
		"unpark":          func(s Stored) (Change, error) { return s.Unpark("m") },
	}
	waiting := map[string]State{"assign": StateAssigned, "park": StateParked}
	placed := map[string]State{"requeue": StateQueued, "finish": StateFinished, "fail": StateFailed, "cancel": StateCancelled}
	withTransition := func(m map[string]State, name string, to State) map[string]State {
		n := map[string]State{name: to}
		for k, v := range m {
			n[k] = v
		}
		return n
	}
	for from, permitted := range map[State]map[string]State{
		StateQueued: waiting, StateEvicted: waiting, StateFailed: waiting,
		StateAssigned:      withTransition(placed, "started", StateRunning),
		StateRunning:       withTransition(placed, "beginEviction", StateCheckpointing),
		StateCheckpointing: withTransition(placed, "evicted", StateEvicted),
		StateParked:        {"unpark": StateQueued},
		StateFinished:      {}, StateCancelled: {},
	} {
		for name, change := range transitions {
			t.Run(string(from)+"/"+name, func(t *testing.T) {
				is := is.New(t)
				s := Stored{Record: Record{Job: "j", Spec: oleandervalve.TaskSpec{Task: "j/0"}, State: from, Epoch: 3}, Version: 7}
				c, err := change(s)
				to, ok := permitted[name]
				is.Equal(err == nil, ok)
				if ok {
					is.Equal(c.After.State, to)
					is.Equal(c.Transaction.Conditions[0].Version, oleandervalve.Version(7))
					is.Equal(c.After.Epoch > 3, name == "assign") // only an assignment takes a new epoch
				}
			})
		}
	}
}
