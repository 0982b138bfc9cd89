package job

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/lease"
)

// newReadyRunner returns a runner that holds its lease and a reservation made at the
// given time, and the order to start the run.
func newReadyRunner(is *is.I, now time.Time) (*Runner, Start) {
	l := lease.NewWorkerLease(lease.WorkerTTL)
	l.Renew(now, now)
	r := NewRunner("w0", 1, l, &ledger{used: map[Run]oleandervalve.Resources{}})
	r.Observed(now, now, oleandervalve.WorkerStatus{Worker: "w0"})
	run := Run{Task: "dawn/0", Epoch: 1}
	list := r.Reserve(now, Reserve{Run: run, ID: "r1", Size: taskSize})
	is.True(list[len(list)-1].(Reserved).Granted)
	return r, Start{Spec: oleandervalve.TaskSpec{Task: run.Task, Epoch: run.Epoch, Size: taskSize}, Incarnation: 1, ID: "r1"}
}

// startCall returns the start call among the actions, or nil.
func startCall(list []Action) *PlatformStart {
	for _, a := range list {
		if p, ok := a.(PlatformStart); ok {
			return &p
		}
	}
	return nil
}

// Guards against a start order that is carried out long after it was given, and after a cancellation.
func TestStartOrderExpiresWithItsReservation(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, tt := range []struct {
		suspended time.Duration
		starts    bool
	}{
		{5 * time.Second, true},
		{15 * time.Second, true},
		{ReservationTTL, false},
		{5 * time.Minute, false},
		{15 * time.Minute, false},
	} {
		t.Run(tt.suspended.String(), func(t *testing.T) {
			is := is.New(t)
			r, order := newReadyRunner(is, now)
			list := r.Start(now.Add(tt.suspended), order)
			is.Equal(startCall(list) != nil, tt.starts)
			if tt.starts {
				return
			}
			report := list[len(list)-1].(Report)
			is.Equal(report.Status, StatusStopped)
			is.True(!report.Started)
		})
	}
}

// Guards against a waiting start call that is sent although the order has expired or a stop came.
func TestWaitingStartCallIsCheckedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r, order := newReadyRunner(is, now)
	run := Run{Task: order.Spec.Task, Epoch: order.Spec.Epoch}
	call := startCall(r.Start(now.Add(time.Second), order))
	is.True(call != nil)
	is.True(r.StartPermitted(now.Add(ReservationTTL-1), *call))
	is.True(!r.StartPermitted(now.Add(ReservationTTL), *call))
	r.Stop(now.Add(2*time.Second), Stop{Run: run, Reason: ReasonJobCancelled})
	is.True(!r.StartPermitted(now.Add(2*time.Second), *call))
	// The call without effect ends the run, which has provably never started.
	list := r.StartDone(now.Add(2*time.Second), run, CallNoEffect)
	report := list[len(list)-1].(Report)
	is.Equal(report.Status, StatusStopped)
	is.True(!report.Started)
}
