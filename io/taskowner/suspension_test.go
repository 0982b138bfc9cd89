package taskowner

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/job"
	"oleandervalve/core/table"
	"oleandervalve/io/peer"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
)

// pausedClock is the clock of a process that stands still: its time goes on, but no timer expires.
type pausedClock struct {
	oleandervalve.Clock
	paused atomic.Int64
}

func (c *pausedClock) Now() time.Time { return c.Clock.Now().Add(time.Duration(c.paused.Load())) }

// gatedTable holds back the answer to the assignment of a task.
type gatedTable struct {
	oleandervalve.Table
	committed, answer chan struct{}
}

func (t *gatedTable) Commit(ctx context.Context, x oleandervalve.Transaction) (oleandervalve.Committed, error) {
	c, err := t.Table.Commit(ctx, x)
	if len(x.Puts) > 0 && strings.HasPrefix(string(x.Puts[0].Key), "tasks/") {
		t.committed <- struct{}{}
		<-t.answer
	}
	return c, err
}

// messages records the messages to the agents.
type messages struct {
	mu   sync.Mutex
	list []peer.Message
}

func (s *messages) SendWorker(_ oleandervalve.WorkerID, m peer.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, m)
	return true
}

// reservation returns the first request for a reservation, or nil.
func (s *messages) reservation() *peer.ReserveTask {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.list {
		if r, ok := m.(*peer.ReserveTask); ok {
			return r
		}
	}
	return nil
}

// starts returns the number of start orders.
func (s *messages) starts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.list {
		if _, ok := m.(*peer.StartTask); ok {
			n++
		}
	}
	return n
}

// Guards against an owner that was suspended, lost its shards and starts a task that was cancelled meanwhile.
func TestOwnerGivesNoOrdersAfterItsSessionEnded(t *testing.T) {
	for _, tt := range []struct {
		name string
		// instance means that the instance was suspended and not only the process.
		instance  bool
		suspended time.Duration
		starts    int
	}{
		{"process for 5 s", false, 5 * time.Second, 1},
		{"process for 15 s", false, 15 * time.Second, 0},
		{"process for 15 min", false, 15 * time.Minute, 0},
		{"instance for 5 s", true, 5 * time.Second, 1},
		{"instance for 15 s", true, 15 * time.Second, 0},
		{"instance for 15 min", true, 15 * time.Minute, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := &pausedClock{Clock: clockwork.NewFakeClock()}
			var uptime atomic.Int64
			server, err := standin.Serve("127.0.0.1:0", standin.NewTable(clockwork.NewFakeClock(), 1).Handler())
			is.NoErr(err)
			t.Cleanup(server.Close)
			client := tablehttp.NewClient(server.URL, 10*time.Second)
			gate := &gatedTable{Table: client, committed: make(chan struct{}), answer: make(chan struct{})}
			sent := &messages{}
			log := logrus.New()
			log.SetOutput(io.Discard)
			o := New("entry-0", "", gate, nil, sent, WithLog(logrus.NewEntry(log)), WithClock(clock), WithLimits(table.Limits{Reads: 1e6, Writes: 1e6}),
				WithUptime(func() time.Duration { return time.Duration(uptime.Load()) }))
			t.Cleanup(o.Close)
			wait := func(ready func() bool) {
				for {
					o.scan()
					o.tick()
					o.mu.Lock()
					ok := ready()
					o.mu.Unlock()
					if ok {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}
			i := job.ShardOf("dawn")
			wait(func() bool { return o.shards[i] != nil })
			is.NoErr(o.Submit(context.Background(), JobSpec{
				Job: "dawn", Team: "cutters", Kind: "press", Tasks: 1, Size: oleandervalve.Resources{CPU: 1000, Memory: 1 << 20},
			}))
			o.AgentConnected("worker-0", oleandervalve.Location{}, nil)
			o.Handle("worker-0", &peer.Residents{Capacity: oleandervalve.Resources{CPU: 4000, Memory: 1 << 30}})
			wait(func() bool { return sent.reservation() != nil })
			r := sent.reservation()
			o.Handle("worker-0", &peer.ReservedTask{Reserved: job.Reserved{Run: r.Run, ID: r.ID, Incarnation: 1, Granted: true}})
			<-gate.committed

			if tt.instance {
				uptime.Add(int64(tt.suspended))
			} else {
				clock.paused.Add(int64(tt.suspended))
			}
			rows, err := client.Get(context.Background(), job.RowKey("dawn"))
			is.NoErr(err)
			stored, err := job.ParseJob(rows[0])
			is.NoErr(err)
			_, err = client.Commit(context.Background(), stored.Cancel("by another entry", "entry-1", job.ReasonJobCancelled))
			is.NoErr(err) // the cancellation is acknowledged to the caller

			close(gate.answer) // the owner wakes up and handles the answer before any timer
			for handled := false; !handled; time.Sleep(time.Millisecond) {
				o.mu.Lock()
				s := o.shards[i]
				handled = s == nil
				if s != nil {
					task, _ := s.Task(r.Run.Task)
					handled = task.State == job.StateAssigned
				}
				o.mu.Unlock()
			}
			is.Equal(sent.starts(), tt.starts)
		})
	}
}
