package process

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
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

// Guards against a planned stop that waits for a request that its client doesn't complete, and
// ends without an answer to it: the client isn't told that the request has no effect.
func TestPlannedStopRefusesUnfinishedRequests(t *testing.T) {
	for name, text := range map[string]string{
		"header": "POST / HTTP/1.1\r\nHost: ",
		"body":   "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n1234567",
		"chunk":  "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n0123",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New("x", "panic", io.Discard)
			address, err := p.Listen("callers", "127.0.0.1:0", 0, http.HandlerFunc(bodyReader))
			is.NoErr(err)
			c := connect(t, address, nil)
			c.write(text)
			waitFor(func() bool { return p.bytesReceived() == oleandervalve.Bytes(len(text)) })
			signals := make(chan struct{}, 1)
			signals <- struct{}{}
			done := make(chan error, 1)
			go func() { done <- p.Run(signals, StopOptions{Timeout: time.Minute, ShutdownTimeout: time.Minute}) }()
			r := c.response(t)
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.Equal(r.header.Get("Retry-After"), "1")
			is.True(r.closed)
			is.NoErr(<-done)
		})
	}
}

// Guards against a planned stop that waits for clients that don't read their responses.
func TestPlannedStopClosesConnectionsOfUnreadResponses(t *testing.T) {
	is := is.New(t)
	p := New("x", "panic", io.Discard)
	written := make(chan struct{})
	address, err := p.Listen("callers", "127.0.0.1:0", 0, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(written)
		_, _ = w.Write(make([]byte, 64<<20)) // fails once the stop gives it up
	}))
	is.NoErr(err)
	c := connect(t, address, nil)
	c.write(request)
	_, err = c.reader.ReadByte()
	is.NoErr(err) // the response has begun
	signals := make(chan struct{}, 1)
	signals <- struct{}{}
	is.NoErr(p.Run(signals, StopOptions{Timeout: time.Minute, ShutdownTimeout: time.Minute}))
	<-written
}

// Guards against a planned stop that cuts the requests of one listener because the clients of
// another one take all of its time.
func TestPlannedStopOfListenersDoesNotWaitForEachOther(t *testing.T) {
	is := is.New(t)
	p := New("x", "panic", io.Discard)
	release, held := make(chan struct{}), make(chan struct{}, 1)
	hold := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		held <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "whole answer")
	})
	first, err := p.Listen("callers", "127.0.0.1:0", 0, hold)
	is.NoErr(err)
	second, err := p.Listen("peers", "127.0.0.1:0", 0, http.HandlerFunc(bodyReader))
	is.NoErr(err)
	ordinary, stalled := connect(t, first, nil), connect(t, second, nil)
	ordinary.write(request)
	<-held
	stalled.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n1234567")
	signals := make(chan struct{}, 1)
	signals <- struct{}{}
	done := make(chan error, 1)
	go func() { done <- p.Run(signals, StopOptions{Timeout: time.Minute, ShutdownTimeout: time.Minute}) }()
	is.Equal(stalled.response(t).status, http.StatusServiceUnavailable) // beside the request at the other listener
	close(release)
	readAnswer(t, ordinary.reader)
	is.NoErr(<-done)
}

// Guards against a planned stop that waits for clients that don't complete their TLS handshake, or
// send nothing after it.
func TestPlannedStopClosesUnusedTLSConnections(t *testing.T) {
	is := is.New(t)
	p := New("x", "panic", io.Discard)
	address, err := p.ListenTLS("peers", "127.0.0.1:0", 0, http.HandlerFunc(bodyReader), testCertificates())
	is.NoErr(err)
	partial := connect(t, address, nil)
	partial.write("\x16\x03\x01\x02\x00\x01\x00")
	unused := connect(t, address, &tls.Config{})
	is.NoErr(unused.Conn.(*tls.Conn).HandshakeContext(t.Context()))
	signals := make(chan struct{}, 1)
	signals <- struct{}{}
	is.NoErr(p.Run(signals, StopOptions{Timeout: time.Minute, ShutdownTimeout: time.Minute}))
}

// bytesReceived returns the bytes of the requests that are being received.
func (p *Process) bytesReceived() (n oleandervalve.Bytes) {
	for _, c := range p.servers[0].connections.openConnections() {
		n += c.state().Received
	}
	return n
}
