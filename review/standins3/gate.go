package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// gate is the path from an agent to its executor. It holds one start on its way for a while.
type gate struct {
	address, executor string
	client            *http.Client

	mu     sync.Mutex
	server *http.Server
	// held receives the start that is held; nil means that none is to be held.
	held chan heldCall
}

// heldCall is a call that is on its way.
type heldCall struct {
	header http.Header
	path   string
	body   []byte
	at     time.Time
}

func newGate(address, executor string) *gate {
	return &gate{address: address, executor: executor, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// open accepts connections, as the executor is up.
func (g *gate) open() error {
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: http.HandlerFunc(g.pass)} //nolint:gosec // a stand-in on a loopback address
	g.mu.Lock()
	g.server = s
	g.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

// close refuses connections and cuts the open ones, as the executor is down.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server != nil {
		_ = g.server.Close()
		g.server = nil
	}
}

// pass forwards a call and its answer.
func (g *gate) pass(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := heldCall{header: r.Header.Clone(), path: r.URL.Path, body: body, at: time.Now()}
	g.mu.Lock()
	held := g.held
	if r.URL.Path == "/run-start" && held != nil {
		g.held = nil
	}
	g.mu.Unlock()
	if r.URL.Path == "/run-start" && held != nil {
		held <- call
		<-r.Context().Done()
		return
	}
	status, answer, err := g.deliver(call)
	if err != nil {
		panic(http.ErrAbortHandler) // the connection breaks
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// deliver sends a call to whatever listens at the address of the executor.
func (g *gate) deliver(c heldCall) (int, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.executor+c.path, bytes.NewReader(c.body))
	if err != nil {
		return 0, nil, err
	}
	request.Header = c.header
	r, err := g.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	answer, err := io.ReadAll(r.Body)
	return r.StatusCode, answer, err
}
