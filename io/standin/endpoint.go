package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"oleandervalve"
	"oleandervalve/io/endpointhttp"
)

// EndpointConfig configures one endpoint stand-in.
type EndpointConfig struct {
	Announcement oleandervalve.Announcement
	// AgentURL is the URL of the agent's announcement API.
	AgentURL string
	// ServiceTime is the median service time; service times are log-normally distributed.
	ServiceTime time.Duration
	// Sigma is the standard deviation of the logarithm of the service time.
	Sigma float64
	Seed  uint64
	// Executions records the executions; all endpoints of a run share one log.
	Executions *ExecutionLog
	// AnnounceInterval is the time between announcements; zero means one second.
	AnnounceInterval time.Duration
	// DrainDelay is how long Drain keeps serving after it has notified the agent, so
	// that requests that the agent admitted earlier still complete.
	DrainDelay time.Duration
	// Listen serves the endpoint on an address and returns the address it is bound to. Its owner
	// stops it after Drain. If it is nil the endpoint has a server of its own.
	Listen func(address string, h http.Handler) (string, error)
}

// ExecutionLog counts the executions of endpoints per work ID, which the request
// carries in the header HeaderTestID.
type ExecutionLog struct {
	mu       sync.Mutex
	runs     map[string]int
	OverSlot int
	total    int
	busy     time.Duration
}

// HeaderTestID is the header that identifies a unit of work whose executions are counted.
const HeaderTestID = "X-Work-Id"

// CountsPath is the path on which an endpoint stand-in reports its Counts.
const CountsPath = "/standin/counts"

// FaultPath is the path on which an endpoint stand-in accepts an EndpointFault.
const FaultPath = "/standin/fault"

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{runs: map[string]int{}} }

// Runs returns the number of executions of a unit of work.
func (b *ExecutionLog) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// Counts is a snapshot of an ExecutionLog.
type Counts struct {
	Total    int            `json:"total"`
	OverSlot int            `json:"overSlot"`
	Runs     map[string]int `json:"runs"`
}

// Counts returns a snapshot of the log.
func (b *ExecutionLog) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{Total: b.total, OverSlot: b.OverSlot, Runs: maps.Clone(b.runs)}
}

// Totals returns the number of executions and how many of them exceeded the
// slots of their endpoint.
func (b *ExecutionLog) Totals() (total, overSlot int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.OverSlot
}

// Duplicated returns the number of units of work that were executed more than once.
func (b *ExecutionLog) Duplicated() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, c := range b.runs {
		if c > 1 {
			n++
		}
	}
	return n
}

// Busy returns the total service time of all executions.
func (b *ExecutionLog) Busy() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busy
}

func (b *ExecutionLog) record(id string, overSlot bool, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	b.busy += d
	if id != "" {
		b.runs[id]++
	}
	if overSlot {
		b.OverSlot++
	}
}

// Endpoint is a running endpoint stand-in.
type Endpoint struct {
	config        EndpointConfig
	server        *http.Server // nil with config.Listen
	client        *http.Client
	cancel        context.CancelFunc
	draining      chan struct{}
	drainOnce     sync.Once
	done          sync.WaitGroup
	announcerDone chan struct{}
	announced     atomic.Bool

	mu     sync.Mutex
	random *rand.Rand
	busy   int
	fault  EndpointFault
}

// EndpointFault describes how an endpoint misbehaves.
type EndpointFault struct {
	// TruncateAfter closes the connection after about this many body bytes, if positive.
	TruncateAfter int `json:"cutAfter,omitempty"`
	// DropResponse executes the request and closes the connection without a response.
	DropResponse bool `json:"dropAnswer,omitempty"`
	// Slow multiplies the service time, if above 1.
	Slow float64 `json:"slow,omitempty"`
	// Status is returned instead of 200, if positive.
	Status int `json:"status,omitempty"`
}

// StartEndpoint starts an endpoint that announces itself to its agent until it
// is drained or closed. Without an address it listens on a free loopback port.
func StartEndpoint(c EndpointConfig) (*Endpoint, error) {
	if c.Announcement.Address == "" {
		c.Announcement.Address = "127.0.0.1:0"
	}
	if c.Executions == nil {
		c.Executions = NewExecutionLog()
	}
	if c.AnnounceInterval <= 0 {
		c.AnnounceInterval = time.Second
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &Endpoint{
		config: c, cancel: cancel, draining: make(chan struct{}), announcerDone: make(chan struct{}),
		client: &http.Client{Timeout: time.Second},
		random: rand.New(rand.NewPCG(c.Seed, 1)),
	}
	if err := x.listen(); err != nil {
		cancel()
		return nil, err
	}
	x.done.Add(1)
	go x.announce(ctx)
	return x, nil
}

// listen serves the endpoint and sets its address.
func (x *Endpoint) listen() (err error) {
	address := &x.config.Announcement.Address
	if x.config.Listen != nil {
		*address, err = x.config.Listen(*address, http.HandlerFunc(x.serve))
		return err
	}
	l, err := net.Listen("tcp", *address)
	if err != nil {
		return err
	}
	*address = l.Addr().String()
	x.server = newServer(http.HandlerFunc(x.serve))
	x.done.Add(1)
	go func() {
		defer x.done.Done()
		_ = x.server.Serve(l)
	}()
	return nil
}

// Address returns the endpoint's address.
func (x *Endpoint) Address() string { return x.config.Announcement.Address }

// Announced reports whether the agent accepted the latest announcement.
func (x *Endpoint) Announced() bool { return x.announced.Load() }

// SetFault replaces the active fault.
func (x *Endpoint) SetFault(f EndpointFault) {
	x.mu.Lock()
	x.fault = f
	x.mu.Unlock()
}

func (x *Endpoint) serveFault(w http.ResponseWriter, r *http.Request) {
	var f EndpointFault
	if r.Method != http.MethodPut || json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<10)).Decode(&f) != nil {
		http.Error(w, "send the fault as a JSON object with PUT", http.StatusBadRequest)
		return
	}
	x.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (x *Endpoint) announce(ctx context.Context) {
	defer x.done.Done()
	defer close(x.announcerDone)
	for {
		err := endpointhttp.Announce(ctx, x.client, x.config.AgentURL, x.config.Announcement)
		x.announced.Store(err == nil)
		select {
		case <-ctx.Done():
			return
		case <-x.draining:
			return
		case <-time.After(x.config.AnnounceInterval):
		}
	}
}

func (x *Endpoint) begin() (time.Duration, EndpointFault, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy++
	d := float64(x.config.ServiceTime)
	if x.config.Sigma > 0 {
		d *= math.Exp(x.random.NormFloat64() * x.config.Sigma)
	}
	if x.fault.Slow > 1 {
		d *= x.fault.Slow
	}
	return time.Duration(d), x.fault, x.busy > x.config.Announcement.Slots
}

func (x *Endpoint) end() {
	x.mu.Lock()
	x.busy--
	x.mu.Unlock()
}

// serve executes a request and responds with the length and hash of the request body.
func (x *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case CountsPath:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(x.config.Executions.Counts())
		return
	case FaultPath:
		x.serveFault(w, r)
		return
	}
	d, fault, overSlot := x.begin()
	defer x.end()
	h := fnv.New64a()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		return
	}
	x.config.Executions.record(r.Header.Get(HeaderTestID), overSlot, d)
	if d > 0 {
		time.Sleep(d)
	}
	if fault.DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Served-By", string(x.config.Announcement.Endpoint))
	w.Header().Set(HeaderTestID, r.Header.Get(HeaderTestID))
	if fault.Status > 0 {
		w.WriteHeader(fault.Status)
	}
	if size, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && size > 0 {
		x.writeLarge(w, size, fault.TruncateAfter)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %d %016x", ResponsePrefix(r.Header.Get(HeaderTestID)), n, h.Sum64())
}

// ResponsePrefix returns the first word of a response, which lets a caller verify that
// the response belongs to its own request.
func ResponsePrefix(id string) string { return "done:" + id }

func (x *Endpoint) writeLarge(w http.ResponseWriter, size, truncateAfter int) {
	block := make([]byte, 8<<10)
	for i := range block {
		block[i] = byte('a' + i%26)
	}
	for sent := 0; sent < size; sent += len(block) {
		if truncateAfter > 0 && sent >= truncateAfter {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(block[:min(len(block), size-sent)]); err != nil {
			return
		}
	}
}

// Drain deregisters the endpoint at the agent, waits for the requests in flight
// and stops listening. The endpoint stops even if the agent is unreachable.
func (x *Endpoint) Drain(ctx context.Context) error {
	x.drainOnce.Do(func() { close(x.draining) })
	// An announcement that arrives after the deregistration would undo it.
	<-x.announcerDone
	leaveErr := endpointhttp.Leave(ctx, x.client, x.config.AgentURL, x.config.Announcement.Endpoint)
	select {
	case <-ctx.Done():
	case <-time.After(x.config.DrainDelay):
	}
	if x.server != nil {
		if err := x.server.Shutdown(ctx); err != nil {
			return err
		}
	}
	return leaveErr
}

// Close stops the endpoint immediately, without notifying the agent.
func (x *Endpoint) Close() {
	x.cancel()
	if x.server != nil {
		_ = x.server.Close()
	}
	x.done.Wait()
}
