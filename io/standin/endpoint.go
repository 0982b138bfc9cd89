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

// EndpointConfig describes one endpoint stand-in.
type EndpointConfig struct {
	Announcement oleandervalve.Announcement
	// Agent is the URL of the agent's announcement API.
	Agent string
	// Service is the median service time; the spread is log-normal.
	Service time.Duration
	// Sigma is the spread of the logarithm of the service time.
	Sigma float64
	Seed  uint64
	// Books counts executions over all endpoints of a run.
	Books *Books
	// Interval is the time between announcements; zero means one second.
	Interval time.Duration
	// Notice is how long Drain goes on serving after it told the agent, for
	// requests that the agent had admitted before.
	Notice time.Duration
}

// Books counts what endpoints executed, by the key in the request header.
type Books struct {
	mu       sync.Mutex
	runs     map[string]int
	OverSlot int
	total    int
	busy     time.Duration
}

// HeaderTestID names a unit of work whose executions are counted.
const HeaderTestID = "X-Work-Id"

// CountsPath is the path on which an endpoint stand-in reports its Counts.
const CountsPath = "/standin/counts"

// FaultPath is the path on which an endpoint stand-in takes an EndpointFault.
const FaultPath = "/standin/fault"

// NewBooks returns empty books.
func NewBooks() *Books { return &Books{runs: map[string]int{}} }

// Runs returns how often a unit of work was executed.
func (b *Books) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// Counts is what endpoints executed.
type Counts struct {
	Total    int            `json:"total"`
	OverSlot int            `json:"overSlot"`
	Runs     map[string]int `json:"runs"`
}

// Counts returns a copy of the books.
func (b *Books) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{Total: b.total, OverSlot: b.OverSlot, Runs: maps.Clone(b.runs)}
}

// Totals returns the executions and how many exceeded the slots of their endpoint.
func (b *Books) Totals() (total, overSlot int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.OverSlot
}

// Doubled counts the units of work that were executed more than once.
func (b *Books) Doubled() int {
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

// Busy returns the service time of all executions.
func (b *Books) Busy() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busy
}

func (b *Books) record(id string, over bool, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	b.busy += d
	if id != "" {
		b.runs[id]++
	}
	if over {
		b.OverSlot++
	}
}

// Endpoint is a running endpoint stand-in.
type Endpoint struct {
	config   EndpointConfig
	listener net.Listener
	server   *http.Server
	client   *http.Client
	cancel   context.CancelFunc
	leaving  chan struct{}
	leave    sync.Once
	done     sync.WaitGroup
	silent   chan struct{}
	heard    atomic.Bool

	mu     sync.Mutex
	random *rand.Rand
	busy   int
	fault  EndpointFault
}

// EndpointFault makes an endpoint misbehave.
type EndpointFault struct {
	// CutAfter closes the connection after this many body bytes, if positive.
	CutAfter int `json:"cutAfter,omitempty"`
	// DropAnswer closes the connection after the request was executed.
	DropAnswer bool `json:"dropAnswer,omitempty"`
	// Slow multiplies the service time, if above 1.
	Slow float64 `json:"slow,omitempty"`
	// Status answers with this status instead of 200, if positive.
	Status int `json:"status,omitempty"`
}

// StartEndpoint listens on a loopback port and announces itself until closed.
func StartEndpoint(c EndpointConfig) (*Endpoint, error) {
	listen := c.Announcement.Address
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	if c.Books == nil {
		c.Books = NewBooks()
	}
	if c.Interval <= 0 {
		c.Interval = time.Second
	}
	c.Announcement.Address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	x := &Endpoint{
		config: c, listener: l, cancel: cancel, leaving: make(chan struct{}), silent: make(chan struct{}),
		client: &http.Client{Timeout: time.Second},
		random: rand.New(rand.NewPCG(c.Seed, 1)),
	}
	x.server = newServer(http.HandlerFunc(x.serve))
	x.done.Add(2)
	go func() {
		defer x.done.Done()
		_ = x.server.Serve(l)
	}()
	go x.announce(ctx)
	return x, nil
}

// Address returns the endpoint's address.
func (x *Endpoint) Address() string { return x.config.Announcement.Address }

// Announced reports whether the agent accepted the newest announcement.
func (x *Endpoint) Announced() bool { return x.heard.Load() }

// SetFault changes how the endpoint misbehaves.
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
	defer close(x.silent)
	for {
		err := endpointhttp.Announce(ctx, x.client, x.config.Agent, x.config.Announcement)
		x.heard.Store(err == nil)
		select {
		case <-ctx.Done():
			return
		case <-x.leaving:
			return
		case <-time.After(x.config.Interval):
		}
	}
}

func (x *Endpoint) begin() (time.Duration, EndpointFault, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy++
	d := float64(x.config.Service)
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

// serve executes a request and answers with a digest of what it was asked.
func (x *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case CountsPath:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(x.config.Books.Counts())
		return
	case FaultPath:
		x.serveFault(w, r)
		return
	}
	d, fault, over := x.begin()
	defer x.end()
	h := fnv.New64a()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		return
	}
	x.config.Books.record(r.Header.Get(HeaderTestID), over, d)
	if d > 0 {
		time.Sleep(d)
	}
	if fault.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Served-By", string(x.config.Announcement.Endpoint))
	w.Header().Set(HeaderTestID, r.Header.Get(HeaderTestID))
	if fault.Status > 0 {
		w.WriteHeader(fault.Status)
	}
	if size, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && size > 0 {
		x.large(w, size, fault.CutAfter)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %d %016x", Answer(r.Header.Get(HeaderTestID)), n, h.Sum64())
}

// Answer is the first word of an answer, by which a caller recognises its own.
func Answer(id string) string { return "done:" + id }

func (x *Endpoint) large(w http.ResponseWriter, size, cutAfter int) {
	block := make([]byte, 8<<10)
	for i := range block {
		block[i] = byte('a' + i%26)
	}
	for sent := 0; sent < size; sent += len(block) {
		if cutAfter > 0 && sent >= cutAfter {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(block[:min(len(block), size-sent)]); err != nil {
			return
		}
	}
}

// Drain tells the agent that the endpoint leaves, ends its requests and stops
// listening. The endpoint stops even if the agent can't be told.
func (x *Endpoint) Drain(ctx context.Context) error {
	x.leave.Do(func() { close(x.leaving) })
	// An announcement that arrives after the leave would undo it.
	<-x.silent
	left := endpointhttp.Leave(ctx, x.client, x.config.Agent, x.config.Announcement.Endpoint)
	select {
	case <-ctx.Done():
	case <-time.After(x.config.Notice):
	}
	if err := x.server.Shutdown(ctx); err != nil {
		return err
	}
	return left
}

// Close stops the endpoint without warning.
func (x *Endpoint) Close() {
	x.cancel()
	_ = x.server.Close()
	x.done.Wait()
}
