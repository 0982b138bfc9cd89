package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func kindOf(i int) oleandervalve.KindName   { return oleandervalve.KindName(fmt.Sprint("k", i)) }
func jobOf(i int) oleandervalve.JobID       { return oleandervalve.JobID(fmt.Sprint("j", i)) }
func workerOf(i int) oleandervalve.WorkerID { return oleandervalve.WorkerID(fmt.Sprint("w", i)) }

// Guards against a faulty worker that stays in service, whose failures count
// against jobs, or that returns without passing a probe.
func TestFaultyWorker(t *testing.T) {
	is := is.New(t)
	c := DefaultConfig()
	f := New(c)
	f.SetFleetSize(100)
	is.True(!f.Failed("w", "k0", "j0", epoch).Quarantine)
	is.True(!f.Failed("w", "k1", "j1", epoch).Quarantine)
	v := f.Failed("w", "k2", "j2", epoch)
	is.True(v.Quarantine)
	is.Equal(v.Kinds, 3)
	_, failedWorkers := f.Parked("j0")
	is.Equal(failedWorkers, 0)
	now := epoch.Add(c.Cooldown)
	is.True(!f.ProbeDue("w", now.Add(-time.Second)))
	is.True(f.ProbeDue("w", now))
	f.ProbeStarted("w")
	is.True(!f.ProbeDue("w", now)) // one probe at a time
	f.Failed("w", "k0", "j0", now)
	is.True(!f.ProbeDue("w", now.Add(2*c.Cooldown-time.Second))) // the wait has doubled
	now = now.Add(2 * c.Cooldown)
	is.True(f.ProbeDue("w", now))
	f.ProbeStarted("w")
	is.True(f.Succeeded("w", "k0", "j0"))
	is.True(!f.WorkerStatus("w").Quarantined)
}

// Guards against a faulty worker that is not detected because all tasks are of one kind.
func TestFaultyWorkerWithOneKind(t *testing.T) {
	is := is.New(t)
	c := DefaultConfig()
	f := New(c)
	f.SetFleetSize(100)
	for i := range 50 {
		f.Succeeded(workerOf(i), "k", "other")
	}
	for range c.MinRepeatedFailures - 1 {
		is.True(!f.Failed("w", "k", "j", epoch).Quarantine)
	}
	is.True(f.Failed("w", "k", "j", epoch).Quarantine)
}

// Guards against a faulty worker that fails one kind so often that the kind
// looks broken everywhere and the worker stays in service. In one simulation, such
// a worker failed 723 tasks in two hours.
func TestFaultyWorkerBeforeTheKindHasSucceeded(t *testing.T) {
	is := is.New(t)
	f := New(DefaultConfig())
	f.SetFleetSize(100)
	now := epoch
	for range 30 {
		now = now.Add(10 * time.Second)
		is.True(!f.Failed("w", "k", "j", now).Quarantine)
	}
	f.Succeeded("w1", "k", "other")
	f.Succeeded("w2", "k", "other")
	is.True(f.Failed("w", "k", "j", now).Quarantine)
}

// Guards against a broken job that gets workers quarantined, or is retried for ever.
func TestFaultyJob(t *testing.T) {
	is := is.New(t)
	c := DefaultConfig()
	f := New(c)
	f.SetFleetSize(100)
	var waits []time.Duration
	for i := range c.ParkWorkers {
		v := f.Failed(workerOf(i), "k", "j", epoch)
		is.True(!v.Quarantine)
		is.Equal(v.Park, i == c.ParkWorkers-1)
		is.Equal(v.Workers, i+1)
		if !v.RetryAt.IsZero() {
			waits = append(waits, v.RetryAt.Sub(epoch))
		}
	}
	is.Equal(waits, []time.Duration{c.Backoff, 2 * c.Backoff, 4 * c.Backoff})
	parked, _ := f.Parked("j")
	is.True(parked)
	f.Unpark("j")
	parked, _ = f.Parked("j")
	is.True(!parked)
}

// Guards against a fault common to all workers that quarantines the whole fleet.
func TestQuarantineCap(t *testing.T) {
	is := is.New(t)
	f := New(DefaultConfig())
	f.SetFleetSize(50)
	n := 0
	for w := range 50 {
		for k := range 6 {
			if f.Failed(workerOf(w), kindOf(k), jobOf(1000*w+k), epoch).Quarantine {
				n++
			}
		}
	}
	is.Equal(n, 5) // a tenth
}
