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

// Fault describes how a service misbehaves for some of its calls.
type Fault struct {
	// Operation limits the fault to one operation; empty means all.
	Operation string `json:"operation,omitempty"`
	// Down rejects the call with status 503 before it takes effect.
	Down bool `json:"down,omitempty"`
	// DropResponse lets the call take effect and closes the connection without a response.
	DropResponse bool `json:"loseAnswer,omitempty"`
	// Malformed lets the call take effect and responds with malformed JSON.
	Malformed bool `json:"malformed,omitempty"`
	// Truncate lets the call take effect and closes the connection halfway through
	// the response body.
	Truncate bool `json:"cut,omitempty"`
	// Status lets the call take effect and responds with this status, if positive.
	Status int `json:"status,omitempty"`
	// Delay is the wait before the call takes effect.
	Delay time.Duration `json:"delayNs,omitempty"`
	// Share is the fraction of calls affected, from 0 to 1; zero means all.
	Share float64 `json:"share,omitempty"`
	// Count is the number of calls after which the fault ends; zero means never.
	Count int `json:"count,omitempty"`
}

// Faults holds the active faults of a service and selects the calls they affect.
type Faults struct {
	mu     sync.Mutex
	active []Fault
	random *rand.Rand
}

// NewFaults returns an empty set; the seed determines which calls a Share selects.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, 2))}
}

// Set replaces the active faults.
func (f *Faults) Set(faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append([]Fault(nil), faults...)
}

// next returns the first fault that applies to a call, or an empty one.
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

// serveFaults replaces the active faults over HTTP.
func (f *Faults) serveFaults(w http.ResponseWriter, r *http.Request) {
	var list []Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&list); err != nil {
		http.Error(w, "faults are not a JSON list: "+err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(list...)
	w.WriteHeader(http.StatusNoContent)
}

// serveWithFault runs a call of a service with the active faults and writes its
// JSON response.
func (f *Faults) serveWithFault(w http.ResponseWriter, r *http.Request, operation string, call func() (int, any)) {
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
	status, response := call()
	if x.DropResponse {
		panic(http.ErrAbortHandler)
	}
	if x.Status > 0 {
		status = x.Status
	}
	body, err := json.Marshal(response)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	if x.Malformed {
		body = []byte(`{"rows":[`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if x.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// Server is a running HTTP server.
type Server struct {
	// URL is the base URL.
	URL    string
	server *http.Server
	done   chan struct{}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 64 << 10}
}

// Serve starts an HTTP server on an address; "127.0.0.1:0" picks a free port.
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

// Close stops the server immediately.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}
