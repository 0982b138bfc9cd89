package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// request is a whole request without a body.
const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// stoppingProcess is a process whose listeners shut down while a request is in flight.
type stoppingProcess struct {
	address string
	signals chan struct{}
	// release lets the request in flight complete, and done gets the result of Run.
	release chan struct{}
	done    chan error
}

// startProcess starts a process with one request in flight. In a planned stop it waits for the
// first request of a connection for the given time.
func startProcess(t *testing.T, grace time.Duration) *stoppingProcess {
	t.Helper()
	p := New("x", "error", io.Discard)
	s := &stoppingProcess{signals: make(chan struct{}, 2), release: make(chan struct{}), done: make(chan error, 1)}
	held := make(chan struct{})
	address, err := p.Listen("callers", "127.0.0.1:0", 0, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			close(held)
			<-s.release
		}
		_, _ = io.WriteString(w, "whole answer")
	}))
	if err != nil {
		t.Fatal(err)
	}
	s.address = address
	p.servers[0].connections.grace = grace
	go func() { s.done <- p.Run(s.signals, StopOptions{Timeout: time.Minute}) }()
	go func() {
		if response, err := http.Get("http://" + address + "/held"); err == nil {
			_ = response.Body.Close()
		}
	}()
	<-held
	return s
}

// stop begins a planned stop and waits until the listener is closed.
func (s *stoppingProcess) stop() {
	s.signals <- struct{}{}
	for {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			return
		}
		_ = c.Close()
		time.Sleep(20 * time.Millisecond) // each one is accepted until none waits
	}
}

func (s *stoppingProcess) connect(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// readAnswer reads one answer and reports whether the server announced that it closes the
// connection.
func readAnswer(t *testing.T, r *bufio.Reader) bool {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("connection ended without an answer: %v", err)
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil || string(b) != "whole answer" {
		t.Fatalf("incomplete answer %q: %v", b, err)
	}
	return response.Close
}

// Guards against a planned stop that reads a request from a connection without earlier ones, and
// closes the connection without an answer.
func TestPlannedStopAnswersRequestsOfNewConnections(t *testing.T) {
	is := is.New(t)
	s := startProcess(t, time.Minute)
	c := s.connect(t)
	s.stop()
	_, err := io.WriteString(c, request)
	is.NoErr(err)
	is.True(readAnswer(t, bufio.NewReader(c)))
	close(s.release)
	is.NoErr(<-s.done)
}

// Guards against a planned stop that takes a connection for an idle one although a request is
// being read from it.
func TestPlannedStopAnswersRequestsThatAreBeingRead(t *testing.T) {
	is := is.New(t)
	s := startProcess(t, time.Minute)
	c := s.connect(t)
	r := bufio.NewReader(c)
	_, err := io.WriteString(c, request)
	is.NoErr(err)
	is.True(!readAnswer(t, r))
	_, err = io.WriteString(c, request[:20])
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // the process reads the first part
	s.stop()
	time.Sleep(100 * time.Millisecond)
	_, _ = io.WriteString(c, request[20:]) // the answer shows whether it was read
	is.True(readAnswer(t, r))
	close(s.release)
	is.NoErr(<-s.done)
}

// Guards against a planned stop that waits for clients that keep connections open and send
// nothing.
func TestPlannedStopClosesUnusedConnections(t *testing.T) {
	is := is.New(t)
	s := startProcess(t, newConnectionGrace)
	idle, fresh := s.connect(t), s.connect(t)
	r := bufio.NewReader(idle)
	_, err := io.WriteString(idle, request)
	is.NoErr(err)
	is.True(!readAnswer(t, r))
	s.stop()
	_, err = r.ReadByte()
	is.Equal(err, io.EOF) // closed without a reset
	_, err = bufio.NewReader(fresh).ReadByte()
	is.Equal(err, io.EOF)
	close(s.release)
	is.NoErr(<-s.done)
}
