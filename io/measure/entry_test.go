package measure

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"oleandervalve"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/entry"
	"oleandervalve/io/peer"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
	"oleandervalve/io/taskowner"
)

const (
	measurementPeriod  = 10 * time.Second
	requestsPerService = 8
)

func dial(b *testing.B, url string, i int) *peer.Conn {
	c, _, err := peer.Dial(b.Context(), url+peer.Path, &http.Client{}, peer.Hello{
		Agent: oleandervalve.AgentID(fmt.Sprint("agent-", i)), Epoch: oleandervalve.ConnectionEpoch(i + 1),
		Location: oleandervalve.Location{Region: "r1", DataCentre: "d1", Rack: "k1"},
	})
	if err != nil {
		b.Fatal(err)
	}
	return c
}

// BenchmarkAgentLinks reports the memory and CPU time of an entry's connections to
// its agents. Both ends are in this process, so the figures are upper bounds.
func BenchmarkAgentLinks(b *testing.B) {
	for _, n := range []int{70, 350, 700} {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			for b.Loop() {
				e := entry.New("entry-1", entry.WithLog(silentLog()))
				s, err := standin.Serve("127.0.0.1:0", e.PeerHandler())
				if err != nil {
					b.Fatal(err)
				}
				base := heapAndStackBytes()
				var conns []*peer.Conn
				for i := range n {
					c := dial(b, s.URL, i)
					conns = append(conns, c)
					go func() {
						for {
							if _, err := c.Receive(context.Background()); err != nil {
								return
							}
						}
					}()
				}
				for e.Agents() < n {
					time.Sleep(10 * time.Millisecond)
				}
				b.ReportMetric((heapAndStackBytes()-base)/float64(n), "B/link")
				idle := cpuTime()
				time.Sleep(measurementPeriod)
				idle = cpuTime() - idle
				busy, sent := cpuTime(), 0
				const rounds = 40
				for k := range rounds {
					for _, c := range conns {
						c.TrySend(&peer.Heartbeat{Sequence: uint64(k), SentAfter: time.Hour, Free: taskSize()})
						sent++
					}
					time.Sleep(measurementPeriod / rounds)
				}
				busy = cpuTime() - busy
				b.ReportMetric(float64(idle.Microseconds())/measurementPeriod.Seconds(), "idle-µs/s")
				b.ReportMetric(float64((busy-idle).Nanoseconds())/float64(sent)/1000, "µs/heartbeat")
				for _, c := range conns {
					c.Close()
				}
				e.Close()
				s.Close()
			}
		})
	}
}

// BenchmarkWaiting reports the memory of a caller's connection whose request waits
// in the queue of an entry, including the client's socket in the same process.
// No agent is connected, so no request is served. An entry without agents refuses
// requests when a service's queue is long, so only a few wait for each service.
func BenchmarkWaiting(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint("requests=", n), func(b *testing.B) {
			for b.Loop() {
				e := entry.New("entry-1", entry.WithLog(silentLog()))
				m := http.NewServeMux()
				m.Handle("/call/", callerhttp.Handler(e, callerhttp.TrustedHeaders{}))
				s, err := standin.Serve("127.0.0.1:0", m)
				if err != nil {
					b.Fatal(err)
				}
				base := heapAndStackBytes()
				var conns []net.Conn
				for i := range n {
					x, err := net.Dial("tcp", s.URL[len("http://"):])
					if err != nil {
						b.Fatal(err)
					}
					_, _ = fmt.Fprintf(x, "GET /call/service-%d/instructions HTTP/1.1\r\nHost: x\r\nOleandervalve-Team: t%d\r\nOleandervalve-Class: pressing\r\nOleandervalve-Timeout-Ms: 600000\r\n\r\n", i/requestsPerService, i%290)
					conns = append(conns, x)
				}
				time.Sleep(time.Second)
				answer := make([]byte, 512)
				for _, x := range conns {
					_ = x.SetReadDeadline(time.Now().Add(time.Microsecond))
					if k, _ := x.Read(answer); k > 0 {
						b.Fatalf("a request did not wait: %s", answer[:k])
					}
				}
				b.ReportMetric((heapAndStackBytes()-base)/float64(n), "B/request")
				for _, x := range conns {
					_ = x.Close()
				}
				e.Close()
				s.Close()
			}
		})
	}
}

// discardingSender accepts and discards every message; the workers of this
// benchmark run no tasks.
type discardingSender struct{}

func (discardingSender) SendWorker(oleandervalve.WorkerID, peer.Message) bool { return true }

// BenchmarkOwners reports the table reads and writes and the CPU time of the task
// owners of several entries while 700 workers send heartbeats and no task runs.
func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{1, 4, 8} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			for b.Loop() {
				server, err := standin.Serve("127.0.0.1:0", standin.NewTable(oleandervalve.SystemClock(), 1).Handler())
				if err != nil {
					b.Fatal(err)
				}
				t := &countingTable{Table: tablehttp.NewClient(server.URL, 2*time.Second)}
				var owners []*taskowner.Owner
				for i := range n {
					id := oleandervalve.EntryID(fmt.Sprint("entry-", i))
					owners = append(owners, taskowner.New(id, string(id), t, nil, discardingSender{}, taskowner.WithLog(silentLog())))
				}
				stop := make(chan struct{})
				var heartbeats sync.WaitGroup
				for _, o := range owners {
					for w := range 700 {
						o.AgentConnected(workerID(w), oleandervalve.Location{DataCentre: "d1"}, nil)
					}
					heartbeats.Add(1)
					go func() {
						defer heartbeats.Done()
						for k := time.Duration(1); ; k++ {
							for w := range 700 {
								o.Heartbeat(workerID(w), &peer.Heartbeat{SentAfter: k * time.Second})
							}
							select {
							case <-stop:
								return
							case <-time.After(time.Second):
							}
						}
					}()
				}
				time.Sleep(2 * measurementPeriod) // wait for sessions, shard ownership and the first renewals
				before, cpuBefore := t.operations(), cpuTime()
				time.Sleep(2 * measurementPeriod)
				d, seconds := t.operations().sub(before), 2*measurementPeriod.Seconds()
				b.ReportMetric(float64(d.ReadCalls)/seconds, "read-calls/s")
				b.ReportMetric(float64(d.RowsRead)/seconds, "rows-read/s")
				b.ReportMetric(float64(d.WriteCalls)/seconds, "commits/s")
				b.ReportMetric(float64(d.RowsWritten)/seconds, "rows-written/s")
				b.ReportMetric((cpuTime()-cpuBefore).Seconds()/seconds*1000, "cpu-ms/s")
				close(stop)
				heartbeats.Wait()
				for _, o := range owners {
					o.Close()
				}
				server.Close()
			}
		})
	}
}

func workerID(i int) oleandervalve.WorkerID { return oleandervalve.WorkerID(fmt.Sprint("worker-", i)) }

// BenchmarkCommit reports the CPU time of committing one row. The client and the
// table stand-in share this process, so the figure is an upper bound.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{500, 5000, 50000} {
		b.Run(fmt.Sprint("bytes=", n), func(b *testing.B) {
			server, err := standin.Serve("127.0.0.1:0", standin.NewTable(oleandervalve.SystemClock(), 1).Handler())
			if err != nil {
				b.Fatal(err)
			}
			defer server.Close()
			t := tablehttp.NewClient(server.URL, 2*time.Second)
			i, cpuBefore := 0, cpuTime()
			for b.Loop() {
				i++
				_, err := t.Commit(b.Context(), oleandervalve.Transaction{
					ID:   oleandervalve.MutationID(fmt.Sprint("m", i)),
					Puts: []oleandervalve.Put{{Key: oleandervalve.Key(fmt.Sprint("tasks/", i%1000)), Value: make([]byte, n)}},
				})
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/float64(i), "cpu-µs/commit")
		})
	}
}
