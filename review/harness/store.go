package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"oleandervalve/platform/emulator"
)

const (
	// rowBytes is the largest value of a row, and callBytes and callEntries the largest call.
	rowBytes    = 65536
	callBytes   = 1 << 20
	callEntries = 100
)

// store is the stand-in of the platform's store: the project's emulator, behind the limits
// that the platform sets for a row and for a call. Each process has a path of its own to it.
type store struct {
	inner  http.Handler
	record *record

	mu  sync.Mutex
	cut map[string]bool
	// busy means that the store refuses all calls with 503. becameBusy is closed then.
	busy       bool
	becameBusy chan struct{}
	// committer is the name of the process that last sent a transaction that was applied.
	committer string
}

func newStore(t *emulator.Table, r *record) *store {
	return &store{inner: t.Handler(), record: r, cut: map[string]bool{}, becameBusy: make(chan struct{})}
}

// setCut cuts the path of a process, on which nothing arrives any more, or heals it.
func (s *store) setCut(name string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[name] = cut
	s.record.add("event  path from %s to the store: cut %t", name, cut)
}

func (s *store) isCut(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[name]
}

// setBusy makes the store refuse all calls, or serve them again.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	if busy {
		close(s.becameBusy)
	} else {
		s.becameBusy = make(chan struct{})
	}
	s.record.add("event  store is busy: %t", busy)
}

// whileServing returns a context that ends with parent or when the store becomes busy, or
// false if it is busy.
func (s *store) whileServing(parent context.Context) (context.Context, context.CancelFunc, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(parent)
	becameBusy := s.becameBusy
	go func() {
		select {
		case <-becameBusy:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, !s.busy
}

// lastCommitter returns the name of the process that wrote last.
func (s *store) lastCommitter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committer
}

// path serves the store at an address of its own to one process.
func (s *store) path(ctx context.Context, name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if s.isCut(name) {
			<-q.Context().Done()
			return
		}
		ctx, cancel, serving := s.whileServing(q.Context())
		defer cancel()
		if !serving {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		answer := &statusWriter{ResponseWriter: w}
		s.serve(name, answer, q.WithContext(ctx))
		if answer.status == 0 && ctx.Err() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	return l.Addr().String(), nil
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader writes the header with a status.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (s *store) serve(name string, w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/rows-tx" {
		s.inner.ServeHTTP(w, q)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if refusal := refuse(body); refusal != "" {
		s.record.add("store  a transaction is refused with 400: %s", refusal)
		http.Error(w, refusal, http.StatusBadRequest)
		return
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	answer := &statusWriter{ResponseWriter: w}
	s.inner.ServeHTTP(answer, q)
	if answer.status == http.StatusOK {
		s.mu.Lock()
		s.committer = name
		s.mu.Unlock()
	}
}

// refuse returns why the store refuses a transaction, or "".
func refuse(body []byte) string {
	var in struct {
		Precondition []emulator.Row `json:"precondition"`
		Puts         []emulator.Row `json:"puts"`
		Remove       []emulator.Row `json:"remove"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return err.Error()
	}
	if len(body) > callBytes {
		return fmt.Sprintf("%d bytes in a call", len(body))
	}
	if n := len(in.Precondition) + len(in.Puts) + len(in.Remove); n > callEntries {
		return fmt.Sprintf("%d entries in a call", n)
	}
	for _, p := range in.Puts {
		if len(p.Value) > rowBytes {
			return fmt.Sprintf("%d bytes in the row %s/%s", len(p.Value), p.Table, p.Key)
		}
	}
	return ""
}
