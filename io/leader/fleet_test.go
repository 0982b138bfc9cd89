package leader

import (
	"context"
	"fmt"
	"net"
	"sort"
	"sync"
	"time"

	"oleandervalve"
	"oleandervalve/core/contention"
	"oleandervalve/io/peer"
)

// linkedListener accepts connections whose data passes a pair of links.
type linkedListener struct {
	net.Listener
	in, out *link
}

func (l *linkedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	lc := &linkedConn{Conn: c, in: l.in, out: l.out, buffer: make(chan []byte, socketBuffer/packet), ctx: ctx, cancel: cancel}
	go lc.drain()
	return lc, nil
}

// linkedConn is a connection whose data passes a pair of links.
type linkedConn struct {
	net.Conn
	in, out *link
	buffer  chan []byte
	ctx     context.Context
	cancel  context.CancelFunc
}

// socketBuffer is the size of the send buffer of a connection.
const socketBuffer = 128 << 10

func (c *linkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.transfer(c.ctx, n)
	return n, err
}

func (c *linkedConn) Write(b []byte) (int, error) {
	for n := 0; n < len(b); n += packet {
		part := append([]byte(nil), b[n:min(n+packet, len(b))]...)
		select {
		case c.buffer <- part:
		case <-c.ctx.Done():
			return n, net.ErrClosed
		}
	}
	return len(b), nil
}

func (c *linkedConn) drain() {
	for {
		select {
		case b := <-c.buffer:
			if !c.out.transfer(c.ctx, len(b)+40) {
				return
			}
			if _, err := c.Conn.Write(b); err != nil {
				return
			}
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *linkedConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// simulatedAgent is an agent with an executor. It keeps a session with the leader like
// executor.Agent.
type simulatedAgent struct {
	fleet   *fleet
	id      oleandervalve.AgentID
	address string
	status  oleandervalve.ExecutorStatus

	mu       sync.Mutex
	proofAt  time.Time
	running  map[oleandervalve.TaskName]oleandervalve.RunNumber
	ended    []oleandervalve.EndedTask
	number   uint64
	sessions int
	conn     *peer.Conn
}

// fleet is a fleet of simulated agents.
type fleet struct {
	agents []*simulatedAgent
	// duration returns how long a task runs; 0 means for ever.
	duration func(oleandervalve.TaskName) time.Duration

	mu     sync.Mutex
	starts map[oleandervalve.TaskName]time.Time
}

func newFleet(n int, address string, duration func(oleandervalve.TaskName) time.Duration) *fleet {
	f := &fleet{duration: duration, starts: map[oleandervalve.TaskName]time.Time{}}
	for i := range n {
		id := oleandervalve.AgentID(fmt.Sprintf("side-%03d", i))
		f.agents = append(f.agents, &simulatedAgent{
			fleet: f, id: id, address: address, running: map[oleandervalve.TaskName]oleandervalve.RunNumber{},
			status: oleandervalve.ExecutorStatus{
				Service: "s", Incarnation: oleandervalve.Incarnation{ID: oleandervalve.ExecutorID("i-" + id), StartedAt: 1},
				State: oleandervalve.ExecutorReady, Capacity: oleandervalve.Resources{CPU: 64000, Memory: 250_000_000_000},
			},
		})
	}
	return f
}

func (f *fleet) run(ctx context.Context) {
	for _, a := range f.agents {
		go func() {
			for ctx.Err() == nil {
				a.session(ctx)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// session runs one session with the leader, with the timeouts of executor.Agent.
func (a *simulatedAgent) session(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
	defer cancel()
	c, err := peer.DialDispatch(call, a.address, peer.Join{Agent: a.id, CachesPayloads: true}, nil)
	if err != nil {
		return
	}
	defer c.Close()
	m, err := c.Receive(call)
	if err != nil {
		return
	}
	if _, ok := m.(*peer.Admit); !ok {
		return
	}
	a.mu.Lock()
	a.sessions++
	a.conn = c
	inventory := peer.ExecutorInventory{Status: a.status, Ended: append([]oleandervalve.EndedTask(nil), a.ended...)}
	for t, r := range a.running {
		inventory.Running = append(inventory.Running, oleandervalve.RunningTask{Task: t, Run: r})
	}
	a.mu.Unlock()
	for _, m := range peer.SplitInventory(inventory) {
		if c.Send(m) != nil {
			return
		}
	}
	type sent struct {
		n  uint64
		at time.Time
	}
	var pings []sent
	var pingsMu sync.Mutex
	done := make(chan struct{})
	defer close(done)
	go func() {
		t := time.NewTicker(700 * time.Millisecond)
		defer t.Stop()
		for n := uint64(1); ; n++ {
			pingsMu.Lock()
			pings = append(pings, sent{n, time.Now()})
			pingsMu.Unlock()
			c.TrySend(&peer.Ping{Sequence: n, Sample: a.sample(), ListsDelayedStarts: true})
			select {
			case <-t.C:
			case <-done:
				return
			case <-ctx.Done():
				c.Close()
				return
			}
		}
	}()
	for {
		call, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
		m, err := c.Receive(call)
		cancel()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *peer.Pong:
			pingsMu.Lock()
			for len(pings) > 0 && pings[0].n <= m.Sequence {
				if pings[0].n == m.Sequence {
					a.mu.Lock()
					if at := pings[0].at.Add(-m.ProofAge); at.After(a.proofAt) {
						a.proofAt = at
					}
					a.mu.Unlock()
				}
				pings = pings[1:]
			}
			pingsMu.Unlock()
		case *peer.StartRun:
			a.start(m.Task, m.Run)
		case *peer.StopRun:
			a.end(m.Task, m.Run, oleandervalve.EndStopped)
		case *peer.AcknowledgeEnd:
			a.mu.Lock()
			for i, e := range a.ended {
				if e.Number == m.Number {
					a.ended = append(a.ended[:i:i], a.ended[i+1:]...)
					break
				}
			}
			a.mu.Unlock()
		case *peer.Redirect:
			return
		}
	}
}

func (a *simulatedAgent) sample() contention.Sample {
	a.mu.Lock()
	defer a.mu.Unlock()
	var s contention.Sample
	for t := range a.running {
		if a.fleet.duration(t) == 0 {
			s.LatencyCritical = append(s.LatencyCritical, contention.LatencySample{Job: t.Job, Image: "watch", TailLatency: 60, Target: 150})
		}
	}
	return s
}

func (a *simulatedAgent) start(t oleandervalve.TaskName, r oleandervalve.RunNumber) {
	a.mu.Lock()
	a.running[t] = r
	a.mu.Unlock()
	a.fleet.mu.Lock()
	if _, ok := a.fleet.starts[t]; !ok {
		a.fleet.starts[t] = time.Now()
	}
	a.fleet.mu.Unlock()
	if d := a.fleet.duration(t); d > 0 {
		time.AfterFunc(d, func() { a.end(t, r, oleandervalve.EndDone) })
	}
}

func (a *simulatedAgent) end(t oleandervalve.TaskName, r oleandervalve.RunNumber, how oleandervalve.RunEnd) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[t] != r {
		return
	}
	delete(a.running, t)
	a.number++
	e := oleandervalve.EndedTask{Number: a.number, Task: t, Run: r, How: how}
	a.ended = append(a.ended, e)
	if a.conn != nil {
		a.conn.TrySend(&peer.RunsEnded{Incarnation: a.status.Incarnation, Ends: []oleandervalve.EndedTask{e}})
	}
}

// percentiles returns the median, the 99th percentile and the maximum.
func percentiles(d []time.Duration) string {
	if len(d) == 0 {
		return "none"
	}
	d = append([]time.Duration(nil), d...)
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	r := func(x time.Duration) time.Duration { return x.Round(time.Millisecond / 10) }
	return fmt.Sprintf("p50 %v p99 %v max %v", r(d[len(d)/2]), r(d[len(d)*99/100]), r(d[len(d)-1]))
}
