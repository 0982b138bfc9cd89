package executor

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/io/peer"
)

// pagingExecutor lists only its oldest ends, as long as they are not acknowledged.
type pagingExecutor struct {
	fakeExecutor
	mu sync.Mutex
	// ends are the ends that are not acknowledged, and pageSize the number that is listed.
	ends     []oleandervalve.EndedTask
	pageSize int
	// stopped receives each stop, and polled each poll.
	stopped, polled chan bool
}

// newPagingExecutor returns an executor on which n runs have ended.
func newPagingExecutor(n, pageSize int) *pagingExecutor {
	x := &pagingExecutor{pageSize: pageSize, stopped: make(chan bool, 10), polled: make(chan bool)}
	for i := range n {
		x.ends = append(x.ends, oleandervalve.EndedTask{Number: uint64(i + 1), Task: oleandervalve.TaskName{Job: "j", Index: i}, Run: 1, How: oleandervalve.EndDone})
	}
	return x
}

func (x *pagingExecutor) Poll(_ context.Context, _ oleandervalve.ExecutorID, p oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
	select {
	case x.polled <- true:
	case <-time.After(5 * time.Millisecond):
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.ends) > 0 && x.ends[0].Number <= p.AcknowledgedEnd {
		x.ends = x.ends[1:]
	}
	page := x.ends[:min(len(x.ends), x.pageSize)]
	return oleandervalve.PollResult{Clock: oleandervalve.ExecutorTime(time.Hour), Ended: append([]oleandervalve.EndedTask(nil), page...), Incomplete: len(page) == x.pageSize}, nil
}

func (x *pagingExecutor) Stop(context.Context, oleandervalve.ExecutorID, oleandervalve.TaskName, oleandervalve.RunNumber, oleandervalve.FencingToken) error {
	x.stopped <- true
	return nil
}

func acknowledge(c *peer.Conn, incarnation oleandervalve.Incarnation, ends []oleandervalve.EndedTask) {
	for _, e := range ends {
		c.TrySend(&peer.AcknowledgeEnd{Acknowledge: dispatch.Acknowledge{Executor: incarnation, Number: e.Number}})
	}
}

// Guards against an inventory that counts as complete although the executor lists further
// ends only after the first ones are acknowledged: their tasks would be done again.
func TestInventoryIsCompleteAfterAllEndsAreListed(t *testing.T) {
	for _, tt := range []struct {
		name       string
		ends       int
		incomplete bool
	}{
		{"no ends", 0, false},
		{"less than a page", 9, false},
		{"one page", 10, true},
		{"several pages", 47, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := newPagingExecutor(tt.ends, 10)
			a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
			is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
			inventories, completed := make(chan bool, 10), make(chan int, 10)
			reported := 0
			leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
				switch m := m.(type) {
				case *peer.ExecutorInventory:
					reported += len(m.Ended)
					inventories <- m.Incomplete
					acknowledge(c, m.Status.Incarnation, m.Ended)
				case *peer.RunsEnded:
					reported += len(m.Ends)
					if m.Complete {
						completed <- reported
					}
					acknowledge(c, m.Incarnation, m.Ends)
				}
			})
			is.Equal(<-inventories, tt.incomplete)
			select {
			case n := <-completed:
				is.True(tt.incomplete)
				is.Equal(n, tt.ends)
			case <-time.After(3 * time.Second):
				is.True(!tt.incomplete)
			}
		})
	}
}

// Guards against a stopped run that is reported as never started because its end is not
// among the ends that the executor lists at a time.
func TestStopOfRunWhoseEndIsNotListed(t *testing.T) {
	is := is.New(t)
	x := newPagingExecutor(11, 10)
	a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
	is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
	last := x.ends[10]
	var conn *peer.Conn
	var inventory *peer.ExecutorInventory
	ready, ended, voids := make(chan bool, 1), make(chan bool, 1), make(chan dispatch.NeverStarted, 10)
	leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
		switch m := m.(type) {
		case *peer.ExecutorInventory:
			conn, inventory = c, m
			ready <- true
		case *peer.RunNeverStarted:
			voids <- m.NeverStarted
		case *peer.RunsEnded:
			for _, e := range m.Ends {
				if e.Number == last.Number {
					ended <- true
				}
			}
		}
	})
	<-ready
	conn.TrySend(&peer.StopRun{Stop: dispatch.Stop{Task: last.Task, Run: last.Run}})
	<-x.stopped
	for range 5 {
		<-x.polled
	}
	acknowledge(conn, inventory.Status.Incarnation, inventory.Ended)
	select {
	case <-ended:
	case n := <-voids:
		t.Fatalf("%v is reported as never started", n.Task)
	case <-time.After(5 * time.Second):
		t.Fatal("the end is not reported")
	}
	is.Equal(len(voids), 0)
}

// oddExecutor lists the ends 1 and 3, and an entry that can't be read as the second or last one.
type oddExecutor struct {
	fakeExecutor
	last  bool
	mu    sync.Mutex
	acked uint64
	polls []time.Time
}

func (x *oddExecutor) Poll(_ context.Context, _ oleandervalve.ExecutorID, p oleandervalve.PollRequest) (oleandervalve.PollResult, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.acked = max(x.acked, p.AcknowledgedEnd)
	x.polls = append(x.polls, time.Now())
	result := oleandervalve.PollResult{Clock: oleandervalve.ExecutorTime(time.Hour)}
	numbers := []uint64{1, 3}
	if x.last {
		numbers = []uint64{1, 2}
	}
	for _, n := range numbers {
		if n > x.acked {
			result.Ended = append(result.Ended, oleandervalve.EndedTask{Number: n, Task: oleandervalve.TaskName{Job: "j", Index: int(n)}, Run: 1, How: oleandervalve.EndDone})
		}
	}
	if x.last || x.acked < 2 {
		result.Unreadable = 1
	}
	return result, nil
}

// Guards against ends that are never acknowledged because one before them can't be read, so that
// the executor lists them for good, and against an agent that polls without a pause because
// such an entry stays.
func TestUnreadableEnd(t *testing.T) {
	for _, last := range []bool{false, true} {
		t.Run(fmt.Sprintf("last=%t", last), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x := &oddExecutor{last: last}
			a := newAgent(Options{ID: "a-1", Clock: oleandervalve.SystemClock(), Executor: x, MaxLease: 10 * time.Second, ProofLifetime: 7 * time.Second})
			is.NoErr(a.StatusAnnounced(statusWith(16, 1)))
			leadAgent(t, a, func(c *peer.Conn, m peer.Message) {
				switch m := m.(type) {
				case *peer.ExecutorInventory:
					acknowledge(c, m.Status.Incarnation, m.Ended)
				case *peer.RunsEnded:
					acknowledge(c, m.Incarnation, m.Ends)
				}
			})
			want := uint64(3)
			if last {
				want = 2
			}
			polls := 0
			for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
				x.mu.Lock()
				acked := x.acked
				polls = len(x.polls)
				x.mu.Unlock()
				if acked == want && (!last || polls > 10) {
					break
				}
				if time.Now().After(deadline) {
					t.Fatalf("ends up to %d are acknowledged instead of %d", acked, want)
				}
			}
			if last {
				x.mu.Lock()
				defer x.mu.Unlock()
				is.True(x.polls[polls-1].Sub(x.polls[polls-2]) >= unacknowledgedPollDelay)
			}
		})
	}
}
