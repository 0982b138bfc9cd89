package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault makes a service misbehave for some of its calls.
type Fault struct {
	// Operation limits the fault to one operation; empty means all.
	Operation string `json:"operation,omitempty"`
	// Down refuses the call before it takes effect.
	Down bool `json:"down,omitempty"`
	// LoseAnswer lets the call take effect and drops the answer.
	LoseAnswer bool `json:"loseAnswer,omitempty"`
	// Malformed lets the call take effect and answers with broken JSON.
	Malformed bool `json:"malformed,omitempty"`
	// Cut lets the call take effect and closes the connection within the answer.
	Cut bool `json:"cut,omitempty"`
	// Status lets the call take effect and answers with this status, if positive.
	Status int `json:"status,omitempty"`
	// Delay holds the call back before it takes effect.
	Delay time.Duration `json:"delayNs,omitempty"`
	// Share is the share of calls hit, from 0 to 1; zero means all.
	Share float64 `json:"share,omitempty"`
	// Count ends the fault after this many hits; zero means never.
	Count int `json:"count,omitempty"`
}

// Faults decides which calls misbehave.
type Faults struct {
	mu     sync.Mutex
	active []Fault
	random *rand.Rand
}

// NewFaults returns a set without faults; the seed decides which calls a share hits.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, 2))}
}

// Set replaces the faults.
func (f *Faults) Set(faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append([]Fault(nil), faults...)
}

// next returns the fault that hits a call, or an empty one.
func (f *Faults) next(operation string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.active {
		x := &f.active[i]
		if x.Operation != "" && x.Operation != operation {
			continue
		}
		if x.Share > 0 && f.random.Float64() >= x.Share {
			continue
		}
		hit := *x
		if x.Count > 0 {
			if x.Count--; x.Count == 0 {
				f.active = append(f.active[:i], f.active[i+1:]...)
			}
		}
		return hit
	}
	return Fault{}
}

// serveFaults lets a test or an operator of the stand-in replace the faults.
func (f *Faults) serveFaults(w http.ResponseWriter, r *http.Request) {
	var list []Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&list); err != nil {
		http.Error(w, "faults are not a JSON list: "+err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(list...)
	w.WriteHeader(http.StatusNoContent)
}

// faulty runs a call of a service under the active faults and writes its JSON answer.
func (f *Faults) faulty(w http.ResponseWriter, r *http.Request, operation string, call func() (int, any)) {
	x := f.next(operation)
	if x.Delay > 0 {
		select {
		case <-time.After(x.Delay):
		case <-r.Context().Done():
			return
		}
	}
	if x.Down {
		http.Error(w, "service is down", http.StatusServiceUnavailable)
		return
	}
	status, answer := call()
	if x.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if x.Status > 0 {
		status = x.Status
	}
	body, err := json.Marshal(answer)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	if x.Malformed {
		body = []byte(`{"rows":[`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if x.Cut {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// Server is a stand-in that serves HTTP on a loopback port.
type Server struct {
	// URL is the base address.
	URL    string
	server *http.Server
	done   chan struct{}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 64 << 10}
}

// Serve starts an HTTP server on an address; "127.0.0.1:0" picks a port.
func Serve(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		URL: "http://" + l.Addr().String(), done: make(chan struct{}),
		server: newServer(h),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(l)
	}()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return strings.TrimPrefix(s.URL, "http://") }

// Shutdown stops the server after the requests in flight have ended or the context is done.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	s.Close()
	return err
}

// Close stops the server at once.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
