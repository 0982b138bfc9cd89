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
	maxHeaderBytes    = 64 << 10
	// defaultShutdownTimeout is the time for requests that are being received, and for completed
	// ones to write the end of their responses, after the drain.
	defaultShutdownTimeout = 5 * time.Second
)

// ErrForcedStop is returned by Run if a second signal ends a planned stop.
var ErrForcedStop = errors.New("stopped at once by a second signal: requests in flight were cut")

// Process holds the logger, metrics and listeners of one process.
type Process struct {
	log         *logrus.Entry
	registry    *Registry
	scope       tally.Scope
	scopeCloser io.Closer
	stopping    atomic.Bool
	listenerErr chan error
	guard       *guard

	mu      sync.Mutex
	servers []server
}

// server serves HTTP on the connections of one listener.
type server struct {
	*http.Server
	connections *connections
}

// New returns a process that logs to w, as JSON lines of the given level or
// above.
func New(id, level string, w io.Writer) *Process {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	p := &Process{log: l.WithField("process", id), registry: NewRegistry(), listenerErr: make(chan error, 1)}
	p.scope, p.scopeCloser = p.registry.NewScope()
	p.guard = newGuard(p.log, p.scope)
	return p
}

// Limit derives the limits on clients from the memory of the instance and the number of
// descriptors that the process may open; 0 means that of the operating system. It is called
// before Listen. Without it the memory is 256 MB.
func (p *Process) Limit(memory oleandervalve.Bytes, descriptors int) {
	p.guard.setLimits(memory, descriptors)
}

// Log returns the logger of the process.
func (p *Process) Log() *logrus.Entry { return p.log }

// Scope returns the metrics scope of the process.
func (p *Process) Scope() tally.Scope { return p.scope }

// Listen serves HTTP on an address until Close, and returns the address it is
// bound to. The timeout limits the time to read a request and the time to
// handle it and write the response; zero means no limit.
func (p *Process) Listen(name, address string, timeout time.Duration, h http.Handler) (string, error) {
	return p.ListenTLS(name, address, timeout, h, nil)
}

// ListenTLS is like Listen but serves over TLS, or without TLS if config is nil.
func (p *Process) ListenTLS(name, address string, timeout time.Duration, h http.Handler, config *tls.Config) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s: choose a free address of this instance", name)
	}
	tracked := newConnections(l.(*net.TCPListener), name, p.guard) //nolint:forcetypeassert // the network is TCP
	tracked.plain, tracked.hasReadTimeout = config == nil, timeout > 0
	l = tracked
	if config != nil {
		l = tls.NewListener(l, config)
	}
	var openConnections atomic.Int64
	gauge := p.scope.Tagged(map[string]string{"listener": name}).Gauge("open_connections")
	s := &http.Server{
		Handler:           guarded(p.closeWhenStopping(h)),
		ConnContext:       withConnection,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       timeout,
		WriteTimeout:      timeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(&serverErrorLog{p.log.WithField("listener", name)}, "", 0),
		ConnState: func(accepted net.Conn, c http.ConnState) {
			tracked.stateChanged(accepted, c)
			switch c {
			case http.StateNew:
				gauge.Update(float64(openConnections.Add(1)))
			case http.StateClosed, http.StateHijacked:
				gauge.Update(float64(openConnections.Add(-1)))
			}
		},
	}
	p.mu.Lock()
	p.servers = append(p.servers, server{s, tracked})
	p.mu.Unlock()
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !p.stopping.Load() {
			select {
			case p.listenerErr <- errors.Wrapf(err, "listener for %s failed", name):
			default:
			}
		}
	}()
	p.log.WithField("listener", name).WithField("address", l.Addr().String()).Info("listening")
	return l.Addr().String(), nil
}

// serverErrorLog writes the internal errors of an http.Server to the log as
// warnings.
type serverErrorLog struct{ log *logrus.Entry }

func (l *serverErrorLog) Write(b []byte) (int, error) {
	l.log.Warn(string(b))
	return len(b), nil
}

// closeWhenStopping closes connections after each response during a planned stop,
// so that clients reconnect to another process.
func (p *Process) closeWhenStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.stopping.Load() && r.Header.Get("Upgrade") == "" {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// HealthHandler serves /healthz, /readyz and /metrics. The function
// notReadyReason returns what the process still waits for, or "" if it is ready.
func (p *Process) HealthHandler(notReadyReason func() string) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeHealth(w, http.StatusOK, "")
	})
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		reason := notReadyReason()
		if p.stopping.Load() {
			reason = "process is stopping"
		}
		if reason != "" {
			writeHealth(w, http.StatusServiceUnavailable, reason)
			return
		}
		writeHealth(w, http.StatusOK, "")
	})
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = p.registry.Write(w)
	})
	return m
}

func writeHealth(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		OK       bool   `json:"ok"`
		WaitsFor string `json:"waitsFor,omitempty"`
	}{status == http.StatusOK, reason})
}

// StopOptions configures a planned stop.
type StopOptions struct {
	// Timeout limits the drain and the notice.
	Timeout time.Duration
	// ShutdownTimeout limits shutting down the listeners afterwards; the default is 5 seconds.
	ShutdownTimeout time.Duration
	// Notice is how long listeners stay open after the process reports that it is not ready.
	Notice time.Duration
	// Drain refuses new work and waits until the work in flight has completed or
	// the context is done. It reports whether all work completed.
	Drain func(context.Context) bool
	// IgnoreRepeated keeps a second signal from ending the stop at once, for a platform that
	// may ask twice and has another signal to end a process.
	IgnoreRepeated bool
}

// Run waits for a signal and then performs a planned stop. A second signal ends
// the stop immediately with ErrForcedStop, unless it is to be ignored. If the timeout expires with work in
// flight, Run returns an *oleandervalve.UnknownOutcomeError. If a listener fails
// before the first signal, Run returns its error immediately.
func (p *Process) Run(signals <-chan struct{}, options StopOptions) error {
	defer p.Close()
	select {
	case <-signals:
	case err := <-p.listenerErr:
		return err
	}
	p.stopping.Store(true)
	repeated := signals
	if options.IgnoreRepeated {
		repeated = nil
		p.log.Info("planned stop has begun")
	} else {
		p.log.Info("planned stop has begun; a second signal ends the process at once")
	}
	ctx, cancel := context.WithTimeout(context.Background(), options.Timeout)
	defer cancel()
	done := make(chan bool, 1)
	go func() { done <- p.stop(ctx, options) }()
	select {
	case <-repeated:
		return ErrForcedStop
	case complete := <-done:
		if !complete {
			return &oleandervalve.UnknownOutcomeError{
				Operation: "planned stop", Remedy: "raise drain.timeout above the longest request; the requests still in flight were cut",
				Cause: context.DeadlineExceeded,
			}
		}
	}
	p.log.Info("planned stop has ended; no request was cut")
	return nil
}

// stop drains the work, keeps the listeners open for the notice and shuts the
// servers down. It reports whether no work in flight was cut off.
func (p *Process) stop(ctx context.Context, options StopOptions) bool {
	notice := time.NewTimer(options.Notice)
	defer notice.Stop()
	complete := options.Drain == nil || options.Drain(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	timeout := options.ShutdownTimeout
	if timeout == 0 {
		timeout = defaultShutdownTimeout
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.shutdown(shutdownCtx) && complete
}

// shutdown shuts down all servers at the same time, so that the clients of one don't take the time
// of the others. It reports whether no request was cut off.
func (p *Process) shutdown(ctx context.Context) bool {
	p.mu.Lock()
	servers := append([]server(nil), p.servers...)
	p.mu.Unlock()
	var cut atomic.Bool
	var done sync.WaitGroup
	for _, s := range servers {
		done.Go(func() {
			s.connections.drain(ctx)
			if s.Shutdown(ctx) != nil {
				cut.Store(true)
			}
		})
	}
	done.Wait()
	return !cut.Load()
}

// Close closes all listeners and connections immediately, and the metrics scope.
func (p *Process) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.servers = nil
	_ = p.scopeCloser.Close()
}
