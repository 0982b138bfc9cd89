package process

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"oleandervalve"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	maxHeader         = 64 << 10
	shutdownGrace     = 5 * time.Second
)

// ErrStoppedAtOnce reports a second signal during a planned stop.
var ErrStoppedAtOnce = errors.New("stopped at once by a second signal: requests in flight were cut")

// Process holds the log, metrics and listeners of one process.
type Process struct {
	log      *logrus.Entry
	registry *Registry
	scope    tally.Scope
	closer   io.Closer
	stopping atomic.Bool
	failed   chan error

	mu      sync.Mutex
	servers []*http.Server
}

// New returns a process that logs JSON lines of at least the given level.
func New(id, level string, w io.Writer) *Process {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	p := &Process{log: l.WithField("process", id), registry: NewRegistry(), failed: make(chan error, 1)}
	p.scope, p.closer = p.registry.NewScope()
	return p
}

// Log returns the log of the process.
func (p *Process) Log() *logrus.Entry { return p.log }

// Scope returns the metrics scope of the process.
func (p *Process) Scope() tally.Scope { return p.scope }

// Listen serves HTTP on an address until Close and returns the address in use.
// A whole exchange may take at most the given time; zero means no bound.
func (p *Process) Listen(name, address string, longest time.Duration, h http.Handler) (string, error) {
	return p.ListenTLS(name, address, longest, h, nil)
}

// ListenTLS is Listen over TLS; a nil configuration means plain connections.
func (p *Process) ListenTLS(name, address string, longest time.Duration, h http.Handler, config *tls.Config) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s: choose a free address of this instance", name)
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	var open atomic.Int64
	gauge := p.scope.Tagged(map[string]string{"listener": name}).Gauge("open_connections")
	s := &http.Server{
		Handler:           p.closing(h),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       longest,
		WriteTimeout:      longest,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          stdlog.New(&lineLog{p.log.WithField("listener", name)}, "", 0),
		ConnState: func(_ net.Conn, c http.ConnState) {
			switch c {
			case http.StateNew:
				gauge.Update(float64(open.Add(1)))
			case http.StateClosed, http.StateHijacked:
				gauge.Update(float64(open.Add(-1)))
			}
		},
	}
	p.mu.Lock()
	p.servers = append(p.servers, s)
	p.mu.Unlock()
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			select {
			case p.failed <- errors.Wrapf(err, "listener for %s failed", name):
			default:
			}
		}
	}()
	p.log.WithField("listener", name).WithField("address", l.Addr().String()).Info("listening")
	return l.Addr().String(), nil
}

// lineLog writes the server's own complaints as log lines.
type lineLog struct{ log *logrus.Entry }

func (l *lineLog) Write(b []byte) (int, error) {
	l.log.Warn(string(b))
	return len(b), nil
}

// closing asks clients to open a new connection during a planned stop, so that
// they reach another process.
func (p *Process) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.stopping.Load() && r.Header.Get("Upgrade") == "" {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// HealthHandler serves /healthz, /readyz and /metrics; ready returns what the
// process still waits for, or "".
func (p *Process) HealthHandler(ready func() string) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeState(w, http.StatusOK, "")
	})
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		waitsFor := ready()
		if p.stopping.Load() {
			waitsFor = "process is stopping"
		}
		if waitsFor != "" {
			writeState(w, http.StatusServiceUnavailable, waitsFor)
			return
		}
		writeState(w, http.StatusOK, "")
	})
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = p.registry.Write(w)
	})
	return m
}

func writeState(w http.ResponseWriter, status int, waitsFor string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		OK       bool   `json:"ok"`
		WaitsFor string `json:"waitsFor,omitempty"`
	}{status == http.StatusOK, waitsFor})
}

// Stop describes a planned stop.
type Stop struct {
	// Timeout bounds the whole stop.
	Timeout time.Duration
	// Notice is how long listeners stay open after the process reports that it is not ready.
	Notice time.Duration
	// Drain refuses new work and returns when the work in flight has ended or
	// the context is done; it returns whether all work ended.
	Drain func(context.Context) bool
}

// Run waits for a signal and then stops as planned; a second one ends the stop
// with ErrStoppedAtOnce. *oleandervalve.UnknownOutcomeError means that the time
// was over with work in flight. A failed listener ends Run at once.
func (p *Process) Run(signals <-chan struct{}, s Stop) error {
	defer p.Close()
	select {
	case <-signals:
	case err := <-p.failed:
		return err
	}
	p.stopping.Store(true)
	p.log.Info("planned stop has begun; a second signal ends the process at once")
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	done := make(chan bool, 1)
	go func() { done <- p.stop(ctx, s) }()
	select {
	case <-signals:
		return ErrStoppedAtOnce
	case whole := <-done:
		if !whole {
			return &oleandervalve.UnknownOutcomeError{
				Operation: "planned stop", Remedy: "raise drain.timeout above the longest request; the requests still in flight were cut",
				Cause: context.DeadlineExceeded,
			}
		}
	}
	p.log.Info("planned stop has ended; no request was cut")
	return nil
}

func (p *Process) stop(ctx context.Context, s Stop) bool {
	notice := time.NewTimer(s.Notice)
	defer notice.Stop()
	whole := s.Drain == nil || s.Drain(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	// Requests that have ended may still be writing their last bytes.
	last, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	p.mu.Lock()
	servers := append([]*http.Server(nil), p.servers...)
	p.mu.Unlock()
	for _, x := range servers {
		whole = x.Shutdown(last) == nil && whole
	}
	return whole
}

// Close closes all listeners at once.
func (p *Process) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.servers = nil
	_ = p.closer.Close()
}
