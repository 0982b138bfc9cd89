package process

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/core/clientlimit"
)

const largeBody = 100_000

// bodyReader answers with 503 and Retry-After if the process refuses the body.
func bodyReader(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	var unavailable *oleandervalve.UnavailableError
	if errors.As(err, &unavailable) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprint(w, len(b))
}

// startLimited starts a process whose budget holds a large body and a half.
func startLimited(t *testing.T, config *tls.Config, connections int, h http.HandlerFunc) (*Process, string) {
	t.Helper()
	p := New("x", "panic", io.Discard)
	p.guard.limits = clientlimit.Limits{Budget: 3 * largeBody / 2, Connections: connections, OtherConnections: connections}
	p.guard.budget = clientlimit.NewBudget(p.guard.limits.Budget)
	address, err := p.ListenTLS("callers", "127.0.0.1:0", 0, h, config)
	is.New(t).NoErr(err)
	t.Cleanup(p.Close)
	return p, address
}

// client is a connection of a client.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, address string, config *tls.Config) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	if config != nil {
		c = tls.Client(c, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // the certificate is one for tests
	}
	return &client{c, bufio.NewReader(c)}
}

func (c *client) write(text string) { _, _ = io.WriteString(c.Conn, text) } // the response shows whether it was read

// responseHead is the status and header of a response, and whether the connection is closed after it.
type responseHead struct {
	status int
	header http.Header
	closed bool
}

func (c *client) response(t *testing.T) responseHead {
	t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	is.New(t).NoErr(err)
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	is.New(t).NoErr(err)
	return responseHead{r.StatusCode, r.Header, r.Close}
}

// waitFor polls a condition until it holds.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func (p *Process) bytesInFlight() (n oleandervalve.Bytes) {
	p.guard.withBudget(func(b *clientlimit.Budget) { n = b.Used() })
	return n
}

// connectionsIn returns the number of open connections in a phase.
func (p *Process) connectionsIn(phase clientlimit.Phase) (n int) {
	l := p.servers[0].connections
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.state().Phase == phase {
			n++
		}
	}
	return n
}

func (p *Process) openConnections() int { return p.servers[0].connections.openCount() }

// testCertificates returns a configuration of TLS with a certificate for tests.
func testCertificates() *tls.Config {
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS()
	defer server.Close()
	return &tls.Config{Certificates: server.TLS.Certificates}
}

// Guards against clients that stop short of the end of a large body and keep the memory for it,
// with a length or in chunks, with and without TLS, and against a connection of a refused
// request that stays open.
func TestStalledBodyReleasesItsMemory(t *testing.T) {
	for _, config := range []*tls.Config{nil, testCertificates()} {
		for _, head := range []string{
			fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBody),
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", largeBody),
		} {
			t.Run(fmt.Sprintf("%t/%.8s", config != nil, head), func(t *testing.T) {
				is := is.New(t)
				p, address := startLimited(t, config, 10, bodyReader)
				stalled := connect(t, address, config)
				stalled.write("POST / HTTP/1.1\r\nHost: x\r\n" + head + strings.Repeat("x", largeBody-3))
				waitFor(func() bool { return p.bytesInFlight() >= largeBody-3-clientlimit.FreeBodyBytes })
				ordinary := connect(t, address, config)
				ordinary.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("x", 3000))
				is.Equal(ordinary.response(t).status, http.StatusOK)
				time.Sleep(clientlimit.StallTime)
				large := connect(t, address, config)
				large.write(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", largeBody) + strings.Repeat("x", largeBody))
				is.Equal(large.response(t).status, http.StatusOK)
				response := stalled.response(t)
				is.Equal(response.status, http.StatusServiceUnavailable)
				is.Equal(response.header.Get("Retry-After"), "1")
				is.True(response.closed)
				waitFor(func() bool { return p.bytesInFlight() == 0 })
			})
		}
	}
}

// Guards against a body without progress that is awaited without end.
func TestBodyWithoutProgressIsRefused(t *testing.T) {
	is := is.New(t)
	p, address := startLimited(t, nil, 10, bodyReader)
	p.guard.stallTimeout = 50 * time.Millisecond
	c := connect(t, address, nil)
	c.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nxxx")
	response := c.response(t)
	is.Equal(response.status, http.StatusServiceUnavailable)
	is.True(response.closed)
	waitFor(func() bool { return p.openConnections() == 0 })
}

// Guards against a deadline for bodies that cuts a request which is being served, or a connection
// that is used again later.
func TestStallTimeoutEndsWithTheBody(t *testing.T) {
	is := is.New(t)
	p, address := startLimited(t, nil, 10, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(200 * time.Millisecond):
			_, _ = io.WriteString(w, "ok")
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	p.guard.stallTimeout = 50 * time.Millisecond
	c := connect(t, address, nil)
	for range 2 {
		c.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nxxx")
		is.Equal(c.response(t).status, http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a caller whose body pauses within the time that its listener has for a whole
// request, and that is refused.
func TestBodyMayPauseWithinTheReadTimeout(t *testing.T) {
	is := is.New(t)
	p := New("x", "panic", io.Discard)
	p.guard.stallTimeout = 20 * time.Millisecond
	address, err := p.Listen("callers", "127.0.0.1:0", time.Minute, http.HandlerFunc(bodyReader))
	is.NoErr(err)
	t.Cleanup(p.Close)
	c := connect(t, address, nil)
	c.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nxxx")
	time.Sleep(200 * time.Millisecond)
	c.write("xxx")
	is.Equal(c.response(t).status, http.StatusOK)
}

// Guards against a body that streams through and counts although nothing of it is kept.
func TestStreamedBodyCountsWhatIsHeld(t *testing.T) {
	is := is.New(t)
	p, address := startLimited(t, nil, 10, func(w http.ResponseWriter, r *http.Request) {
		r.Body.(interface{ Stream() }).Stream()
		n, err := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n, err)
	})
	response, err := http.Post("http://"+address, "", bytes.NewReader(make([]byte, 10*largeBody)))
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(text), fmt.Sprint(10*largeBody, nil))
	waitFor(func() bool { return p.bytesInFlight() == 0 })
}

// Guards against headers of many small fields, which take many times their size, and that
// take the memory of the process before any request has begun.
func TestHeadersCountWithTheMemoryThatTheyTake(t *testing.T) {
	is := is.New(t)
	p, address := startLimited(t, nil, 10, bodyReader)
	c := connect(t, address, nil)
	c.write("POST / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:b\r\n", 4000))
	response := c.response(t)
	is.Equal(response.status, http.StatusServiceUnavailable)
	is.Equal(response.header.Get("Retry-After"), "1")
	waitFor(func() bool { return p.bytesInFlight() == 0 })
}

// Guards against parsed headers that are held while a request is served and don't count.
func TestParsedHeaderCountsWhileItIsHeld(t *testing.T) {
	is := is.New(t)
	held := make(chan oleandervalve.Bytes, 1)
	var p *Process
	p, address := startLimited(t, nil, 10, func(http.ResponseWriter, *http.Request) { held <- p.bytesInFlight() })
	c := connect(t, address, nil)
	var fields strings.Builder
	for n := range 400 {
		_, _ = fmt.Fprintf(&fields, "a%d:b\r\n", n)
	}
	c.write("GET / HTTP/1.1\r\nHost: x\r\n" + fields.String() + "\r\n")
	is.True(<-held >= 400*fieldBytes-freeHeaderMemory)
	is.Equal(c.response(t).status, http.StatusOK)
	waitFor(func() bool { return p.bytesInFlight() == 0 })
}

// Guards against a listener that refuses ordinary callers at its limit while connections are
// idle or stopped within their requests, and against one that exceeds its limit.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	p, address := startLimited(t, nil, 3, bodyReader)
	idle := connect(t, address, nil)
	idle.write(request)
	is.Equal(idle.response(t).status, http.StatusOK)
	var stopped []*client
	for range 2 {
		c := connect(t, address, nil)
		c.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nxxx")
		stopped = append(stopped, c)
	}
	waitFor(func() bool { return p.openConnections() == 3 })
	time.Sleep(clientlimit.StallTime)
	for range 2 {
		waitFor(func() bool { return p.openConnections() == 3 && p.connectionsIn(clientlimit.Idle) == 1 })
		c := connect(t, address, nil)
		c.write(request)
		is.Equal(c.response(t).status, http.StatusOK)
	}
	_, err := idle.reader.ReadByte()
	is.Equal(err, io.EOF) // closed without a reset
	stopped[0].write("xxxxxxx")
	is.Equal(stopped[0].response(t).status, http.StatusOK) // an idle one was closed instead
	waitFor(func() bool { return p.openConnections() <= 3 })
}

// Guards against a listener that closes a connection whose request is being served, and against
// a refusal at the limit that clients can't tell from a failure.
func TestConnectionLimitWhileAllAreServed(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	p, address := startLimited(t, nil, 2, func(http.ResponseWriter, *http.Request) { <-release })
	var served []*client
	for range 2 {
		c := connect(t, address, nil)
		c.write(request)
		served = append(served, c)
	}
	waitFor(func() bool { return p.connectionsIn(clientlimit.Serving) == 2 })
	refused := connect(t, address, nil)
	is.Equal(refused.response(t).status, http.StatusServiceUnavailable)
	close(release)
	for _, c := range served {
		is.Equal(c.response(t).status, http.StatusOK)
	}
}

// Guards against a listener that refuses ordinary callers while clients that don't complete their
// requests connect faster than their connections grow old.
func TestConnectionLimitWhileAllAreNew(t *testing.T) {
	is := is.New(t)
	const limit = 8
	p, address := startLimited(t, nil, limit, bodyReader)
	for range 10 {
		for range limit {
			connect(t, address, nil).write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nxxx")
		}
		c := connect(t, address, nil)
		c.write(request)
		is.Equal(c.response(t).status, http.StatusOK)
	}
	waitFor(func() bool { return p.openConnections() <= limit })
}

// Guards against clients that send requests ahead, so that each of their connections is idle for
// moments only and is never closed at the limit.
func TestConnectionLimitWithRequestsSentAhead(t *testing.T) {
	is := is.New(t)
	p, address := startLimited(t, nil, 8, bodyReader)
	for range 40 {
		c := connect(t, address, nil)
		go c.write(strings.Repeat(request, 50_000))
	}
	ordinary := func() bool {
		c := connect(t, address, nil)
		c.write(request)
		r, err := http.ReadResponse(c.reader, nil)
		return err == nil && r.Body.Close() == nil && r.StatusCode == http.StatusOK
	}
	waitFor(ordinary)
	is.True(p.openConnections() <= 8+minClosing+1)
}

// Guards against a client that does not read its response and holds the connection, and against
// a deadline that cuts one which reads slowly.
func TestWriteDeadlineIsExtendedByProgress(t *testing.T) {
	is := is.New(t)
	failed := make(chan error, 1)
	p, address := startLimited(t, nil, 10, func(w http.ResponseWriter, r *http.Request) {
		n := 8 << 20
		if r.URL.Path == "/unread" {
			n = 64 << 20
		}
		_, err := w.Write(make([]byte, n))
		if r.URL.Path == "/unread" {
			failed <- err
		}
	})
	p.guard.writeTimeout = 300 * time.Millisecond
	unread := connect(t, address, nil)
	unread.write("GET /unread HTTP/1.1\r\nHost: x\r\n\r\n")
	is.True(<-failed != nil)
	slow := connect(t, address, nil)
	slow.write(request)
	start, total := time.Now(), 0
	for b := make([]byte, 1<<20); total < 8<<20; {
		n, err := slow.reader.Read(b)
		is.NoErr(err)
		total += n
		if time.Since(start) < 2*p.guard.writeTimeout {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against a hijacked connection that keeps a share of the budget or a deadline of the
// server, or that no longer counts at the limit of its listener.
func TestHijackedConnection(t *testing.T) {
	is := is.New(t)
	hijacked := make(chan net.Conn, 1)
	p, address := startLimited(t, nil, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/upgrade" {
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			hijacked <- c
		}
	})
	p.guard.stallTimeout = 10 * time.Millisecond
	c := connect(t, address, nil)
	c.write("GET /upgrade HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")
	server := <-hijacked
	is.Equal(p.bytesInFlight(), oleandervalve.Bytes(0))
	is.Equal(p.openConnections(), 0)
	time.Sleep(50 * time.Millisecond)
	c.write("hello")
	b := make([]byte, 5)
	_, err := io.ReadFull(server, b)
	is.NoErr(err)
	is.Equal(connect(t, address, nil).response(t).status, http.StatusServiceUnavailable)
	is.NoErr(server.Close())
	waitFor(func() bool {
		next := connect(t, address, nil)
		next.write(request)
		return next.response(t).status == http.StatusOK
	})
}
