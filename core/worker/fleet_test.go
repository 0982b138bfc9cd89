package worker

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"k8s.io/apimachinery/pkg/labels"
	"pgregory.net/rapid"

	"oleandervalve"
	"oleandervalve/core/interference"
)

func init() {
	// A fixed seed makes runs reproducible; -rapid.seed on the command line overrides it.
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}

const gib = oleandervalve.Bytes(1) << 30

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet(workers int, c Config) *Fleet {
	f := NewFleet(c, interference.NewModel(interference.DefaultConfig()))
	for i := range workers {
		f.Update(workerID(i), location(i), labels.Set{"disk": []string{"ssd", "hdd"}[i%2]}, oleandervalve.Resources{CPU: 16000, Memory: 64 * gib})
	}
	return f
}

func workerID(i int) oleandervalve.WorkerID { return oleandervalve.WorkerID(fmt.Sprintf("w%02d", i)) }

func location(i int) oleandervalve.Location {
	return oleandervalve.Location{
		Region: "r", DataCentre: oleandervalve.DataCentreID(fmt.Sprint("d", i%4)), Rack: oleandervalve.RackID(fmt.Sprint("k", i%12)),
	}
}

func task(id string, s Spec) Task { return Task{ID: oleandervalve.TaskID(id), Epoch: 1, Spec: &s} }

// Guards, for any order of events, against reservations beyond the capacity, an
// index that hides workers with free capacity, and counts that disagree with the
// residents.
func TestFleetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := DefaultConfig()
		c.MaxCandidates, c.MaxChecked = 1000, 1000
		c.StartCap = 1000
		f := newFleet(3, c)
		now := epoch
		shrunk := map[oleandervalve.WorkerID]bool{} // workers whose capacity has shrunk
		size := rapid.Custom(func(t *rapid.T) oleandervalve.Resources {
			return oleandervalve.Resources{
				CPU:          oleandervalve.Millicores(rapid.IntRange(0, 20000).Draw(t, "cpu")),
				Memory:       oleandervalve.Bytes(rapid.Int64Range(0, int64(70*gib)).Draw(t, "memory")),
				Accelerators: oleandervalve.Accelerators(rapid.IntRange(0, 3).Draw(t, "accelerators")),
			}
		})
		worker := rapid.Map(rapid.IntRange(0, 7), workerID)
		taskID := rapid.Map(rapid.IntRange(0, 30), func(i int) oleandervalve.TaskID { return oleandervalve.TaskID(fmt.Sprint("t", i)) })
		where := []labels.Selector{nil, labels.SelectorFromSet(labels.Set{"disk": "ssd"}), labels.SelectorFromSet(labels.Set{"disk": "tape"})}
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				id, capacity := worker.Draw(t, "worker"), size.Draw(t, "capacity")
				f.Update(id, location(rapid.IntRange(0, 9).Draw(t, "location")), labels.Set{"disk": rapid.SampledFrom([]string{"ssd", "hdd"}).Draw(t, "disk")}, capacity)
				shrunk[id] = !f.Worker(id).Reserved.Fits(capacity)
			},
			"state": func(t *rapid.T) {
				f.SetState(worker.Draw(t, "worker"), rapid.SampledFrom([]State{Ready, Suspect, Draining, Quarantined}).Draw(t, "state"))
			},
			"remove": func(t *rapid.T) {
				for _, r := range f.Remove(worker.Draw(t, "worker")) {
					if f.Resident(r.ID) != nil {
						t.Fatal("task of a removed worker is still resident")
					}
				}
			},
			"reserve": func(t *rapid.T) {
				x := task(string(taskID.Draw(t, "task")), Spec{Job: "j", Kind: "k", Tasks: 9, Where: rapid.SampledFrom(where).Draw(t, "where")})
				want := size.Draw(t, "size")
				found := false
				f.Workers(func(w *Worker) bool {
					_, ok := f.Check(w, x, want, now)
					found = found || ok
					return true
				})
				choice, ok := f.Choose(x, want, now)
				if ok != found {
					t.Fatalf("index found %v, check of every worker %v", ok, found)
				}
				if !ok {
					return
				}
				hadReservation := f.Resident(x.ID) != nil
				_, err := f.Reserve(x, choice.Worker.ID, want, now)
				if hadReservation == (err == nil) {
					t.Fatalf("reserved before: %v, error: %v", hadReservation, err)
				}
			},
			"reserveAnywhere": func(t *rapid.T) {
				_, _ = f.Reserve(task(string(taskID.Draw(t, "task")), Spec{Job: "j", Kind: "k", Tasks: 9}), worker.Draw(t, "worker"), size.Draw(t, "size"), now)
			},
			"release": func(t *rapid.T) { f.Release(taskID.Draw(t, "task"), now) },
			"resize":  func(t *rapid.T) { f.Resize(taskID.Draw(t, "task"), size.Draw(t, "size")) },
			"time":    func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				tasks, spreadTasks := 0, 0
				f.Workers(func(w *Worker) bool {
					var sum oleandervalve.Resources
					var n int32
					for _, r := range w.Residents {
						sum = sum.Add(r.Size)
					}
					for _, m := range w.Mix() {
						n += m.Tasks
					}
					tasks += len(w.Residents)
					if sum != w.Reserved || int(n) != len(w.Residents) {
						t.Fatalf("%s: reserved %v, residents %v", w.ID, w.Reserved, sum)
					}
					if !shrunk[w.ID] && !sum.Fits(w.Capacity) {
						t.Fatalf("%s: reserved %v of %v", w.ID, sum, w.Capacity)
					}
					shrunk[w.ID] = !sum.Fits(w.Capacity)
					return true
				})
				if j := f.jobs["j"]; j != nil {
					for _, n := range j.dataCentres {
						spreadTasks += n
					}
				}
				if tasks != f.Tasks() || tasks != spreadTasks {
					t.Fatalf("%d residents, %d tasks, %d counted for spread", tasks, f.Tasks(), spreadTasks)
				}
			},
		})
	})
}

// Guards against ignoring the selectors of the new task or those of the residents.
func TestSelectors(t *testing.T) {
	for _, c := range []struct {
		name           string
		resident, next Selectors
		want           Constraint
	}{
		{"no selector", Selectors{}, Selectors{}, ""},
		{"where matches", Selectors{}, Selectors{Where: "disk=ssd"}, ""},
		{"where excludes", Selectors{}, Selectors{Where: "disk in (hdd,tape)"}, WorkerSelector},
		{"beside matches", Selectors{}, Selectors{Beside: "app=first"}, ""},
		{"beside excludes", Selectors{}, Selectors{Beside: "app=other"}, TaskAffinity},
		{"not beside", Selectors{}, Selectors{NotBeside: "app"}, TaskAffinity},
		{"resident excludes the task", Selectors{NotBeside: "app=second"}, Selectors{}, TaskAffinity},
		{"resident requires other tasks", Selectors{Beside: "app=third"}, Selectors{}, TaskAffinity},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, DefaultConfig())
			first := Spec{Job: "a", Kind: "a", Labels: labels.Set{"app": "first"}}
			next := Spec{Job: "b", Kind: "b", Labels: labels.Set{"app": "second"}}
			is.NoErr(first.SetSelectors(c.resident))
			is.NoErr(next.SetSelectors(c.next))
			size := oleandervalve.Resources{CPU: 1000, Memory: gib}
			_, err := f.Reserve(task("a/0", first), "w00", size, epoch)
			is.NoErr(err)
			got, ok := f.Check(f.Worker("w00"), task("b/0", next), size, epoch)
			is.Equal(got, c.want)
			is.Equal(ok, c.want == "")
			_, chosen := f.Choose(task("b/0", next), size, epoch)
			is.Equal(chosen, ok) // the index agrees with Check
		})
	}
	is := is.New(t)
	var invalid *oleandervalve.InvalidError
	is.True(errors.As((&Spec{}).SetSelectors(Selectors{Where: "disk in ssd"}), &invalid))
	is.Equal(invalid.Field, "where")
}

// Guards against placing all tasks of a job in one rack or one data centre, whose
// failure would then end them all.
func TestSpreadAcrossDataCentresAndRacks(t *testing.T) {
	is := is.New(t)
	f := newFleet(24, DefaultConfig())
	s := Spec{Job: "j", Kind: "k", LatencyCritical: true, Tasks: 8}
	centres, racks := map[oleandervalve.DataCentreID]int{}, map[oleandervalve.RackID]int{}
	for i := range 8 {
		x := task(fmt.Sprint("j/", i), s)
		c, ok := f.Choose(x, oleandervalve.Resources{CPU: 1000, Memory: gib}, epoch)
		is.True(ok)
		_, err := f.Reserve(x, c.Worker.ID, oleandervalve.Resources{CPU: 1000, Memory: gib}, epoch)
		is.NoErr(err)
		centres[c.Worker.Location.DataCentre]++
		racks[c.Worker.Location.Rack]++
	}
	for _, n := range centres {
		is.Equal(n, 2) // 8 tasks over 4 data centres
	}
	is.Equal(len(racks), 8)
}

// Guards against an infeasible job that is reported without the reason, and
// against treating a full fleet as infeasibility of the job.
func TestDiagnosis(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, DefaultConfig())
	f.SetState("w00", Draining)
	s := Spec{Job: "j", Kind: "k"}
	is.NoErr(s.SetSelectors(Selectors{Where: "disk=ssd"}))
	huge := oleandervalve.Resources{CPU: 17000}
	d := f.Diagnose(task("j/0", s), huge, epoch)
	is.Equal(d.Excluded, []Excluded{{WorkerSelector, 3}, {TotalCapacity, 3}})
	is.True(d.Infeasible && f.Infeasible(task("j/0", s), huge))
	for i := range 3 {
		_, err := f.Reserve(task(fmt.Sprint("x/", i), Spec{Job: "x", Kind: "x"}), workerID(2*i), oleandervalve.Resources{CPU: 16000}, epoch)
		is.NoErr(err)
	}
	d = f.Diagnose(task("j/0", s), oleandervalve.Resources{CPU: 1000}, epoch)
	is.Equal(d.Excluded, []Excluded{{NotReady, 1}, {WorkerSelector, 3}, {FreeCapacity, 2}})
	is.True(!d.Infeasible)
}

// Guards against attributing a late sample to tasks that were placed after the
// time of the sample.
func TestHistoryReturnsMixAtSampleTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, DefaultConfig())
	size := oleandervalve.Resources{CPU: 4000, Memory: gib}
	_, _ = f.Reserve(task("a", Spec{Job: "a", Kind: "a"}), "w00", size, epoch)
	_, _ = f.Reserve(task("b", Spec{Job: "b", Kind: "b"}), "w00", size, epoch.Add(time.Minute))
	f.Release("a", epoch.Add(2*time.Minute))
	w := f.Worker("w00")
	for _, c := range []struct {
		after time.Duration
		tasks int
		level interference.Level
	}{{30 * time.Second, 1, 0}, {90 * time.Second, 2, 1}, {150 * time.Second, 1, 0}} {
		mix, level, ok := w.MixAt(epoch.Add(c.after))
		is.True(ok)
		is.Equal(len(mix), c.tasks)
		is.Equal(level, c.level)
	}
	_, _, ok := w.MixAt(epoch.Add(-time.Second))
	is.True(!ok)
}
