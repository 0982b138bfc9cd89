package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/io/standin"
	"oleandervalve/platform"
	"oleandervalve/platform/emulator"
)

const (
	// stopCrowd is the number of clients of each shape at the listener of a process that stops.
	stopCrowd = 8
	// stopGrace is the time after which the process is killed, as the platform does.
	stopGrace = 20 * time.Second
	// unfinishedBodyBytes is the announced size of bodies that stop missingBytes short.
	unfinishedBodyBytes = 16_000
	// unreadCrowd is the number of clients of a listener that read no responses, and
	// unreadBufferBytes the receive buffer of their connections.
	unreadCrowd       = 2
	unreadBufferBytes = 4 << 10
	// sentDelay is the time for the process to read what has been sent.
	sentDelay = 200 * time.Millisecond
)

// servingProcess is a process with the address of each of its listeners.
type servingProcess struct {
	command   *exec.Cmd
	listeners map[string]string
	log       string
	ended     chan struct{}
	err       error
}

// startServing starts a process of a role, and returns once it serves its metrics.
func startServing(t *testing.T, role string) *servingProcess {
	t.Helper()
	p := &servingProcess{}
	if strings.HasPrefix(role, "hosted-") {
		p.prepareHosted(t, role)
	} else {
		p.prepareOwn(t, role)
	}
	p.start(t)
	return p
}

// start starts the process, and returns once it serves its metrics.
func (p *servingProcess) start(t *testing.T) {
	t.Helper()
	is := is.New(t)
	p.log, p.ended = filepath.Join(t.TempDir(), "log"), make(chan struct{})
	log, err := os.Create(p.log)
	is.NoErr(err)
	p.command.Stdout, p.command.Stderr = log, log
	is.NoErr(p.command.Start())
	go func() {
		defer close(p.ended)
		p.err = p.command.Wait()
		_ = log.Close()
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	for {
		if response, err := http.Get("http://" + p.listeners["metrics"] + "/healthz"); err == nil {
			_ = response.Body.Close()
			return
		}
		select {
		case <-p.ended:
			t.Fatalf("the process has ended: %v", p.err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (p *servingProcess) prepareHosted(t *testing.T, role string) {
	t.Helper()
	is := is.New(t)
	table := emulator.NewTable(1)
	table.Put("op", "", "config", emulator.RouteConfig(1, "x.example", "/q/", "s"))
	server := httptest.NewServer(table.Handler())
	t.Cleanup(server.Close)
	a := freeAddresses(t, 4)
	_, port, err := net.SplitHostPort(a[3])
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "local.conf")
	is.NoErr(os.WriteFile(file, []byte(strings.Join([]string{
		"nodeName=n", "ip=127.0.0.1", "zone=z", "portRange=" + port + "," + port, "platform.address=" + server.Listener.Addr().String(), "app=127.0.0.1:1",
		"listen.front=" + a[0], "listen.readyAddr=" + a[1], "listen.controlAddr=" + a[2], "seeds=" + a[2],
		"bounds.graceS=" + strconv.Itoa(int(stopGrace/time.Second)),
	}, "\n")+"\n"), 0o600))
	p.command = exec.Command("oleandervalve", role)
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	p.listeners = map[string]string{"metrics": a[3], "callers": a[0], "readiness": a[1], "peers": a[2]}
	if role == "hosted-agent" {
		p.listeners = map[string]string{"metrics": a[3], "announcements": a[2]}
	}
}

func (p *servingProcess) prepareOwn(t *testing.T, role string) {
	t.Helper()
	a := freeAddresses(t, 4)
	args, text := []string{role}, ""
	switch role {
	case "entry":
		server := httptest.NewServer(standin.NewTable(oleandervalve.SystemClock(), 1).Handler())
		t.Cleanup(server.Close)
		p.listeners = map[string]string{"callers": a[0], "peers": a[1], "metrics": a[2], "operators": a[3]}
		text = fmt.Sprintf("location: {region: r, dataCentre: d}\nauthentication: headers\ntable: {url: '%s'}\n", server.URL)
	case "agent":
		p.listeners = map[string]string{"announcements": a[0], "metrics": a[1]}
		text = fmt.Sprintf("location: {region: r, dataCentre: d, rack: k}\nentries: ['http://%s']\n", a[2])
	case "table":
		args = []string{"standin", role}
		p.listeners = map[string]string{"service": a[0], "metrics": a[1]}
	case "endpoint":
		args = []string{"standin", role}
		p.listeners = map[string]string{"service": a[0], "metrics": a[1]}
		text = fmt.Sprintf("endpoint: {service: formaro, agent: 'http://%s', slots: 2, connections: 64}\n", a[2])
	}
	p.writeSettings(t, text+"role: "+role+"\nid: n\n", args...)
}

// writeSettings writes the settings file of a process of the own product and prepares its command.
func (p *servingProcess) writeSettings(t *testing.T, text string, args ...string) {
	t.Helper()
	text += fmt.Sprintf("drain: {timeout: %s, notice: 500ms}\nlisten:\n", stopGrace-5*time.Second)
	for name, address := range p.listeners {
		text += fmt.Sprintf("  %s: %s\n", name, address)
	}
	file := filepath.Join(t.TempDir(), "own.yaml")
	is.New(t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	p.command = exec.Command("oleandervalve", append(args, "--settings", file)...)
}

// stop asks the process to stop, kills it after stopGrace, and fails the test unless the process
// ended by itself before and says that it has cut nothing.
func (p *servingProcess) stop(t *testing.T) {
	t.Helper()
	is.New(t).NoErr(p.command.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(stopGrace, func() { _ = p.command.Process.Kill() })
	defer kill.Stop()
	begun := time.Now()
	<-p.ended
	t.Logf("ended after %.1f s", time.Since(begun).Seconds())
	if p.err != nil {
		text, _ := os.ReadFile(p.log)
		t.Errorf("planned stop: %v; last log lines:\n%s", p.err, text[max(0, len(text)-1000):])
	}
}

// stopShapes are the ways in which a client holds its connection while the process stops.
var stopShapes = []struct {
	name string
	// text is what the client sends. With unread it sends it again and again, and reads nothing.
	text   string
	unread bool
	// listener is the one that the shape is for; "" means all.
	listener string
}{
	{name: "unfinishedBody", text: "POST /q/0000000000000001 HTTP/1.1\r\nHost: x.example\r\nContent-Length: " + strconv.Itoa(unfinishedBodyBytes) + "\r\n\r\n" + strings.Repeat(" ", unfinishedBodyBytes-missingBytes)},
	{name: "unfinishedChunk", text: "POST /q/0000000000000001 HTTP/1.1\r\nHost: x.example\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n0123"},
	{name: "unfinishedHeader", text: "POST /q/0000000000000001 HTTP/1.1\r\nHost: x.exam"},
	{name: "unreadResponses", text: strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x.example\r\n\r\n", 100), unread: true},
	{name: "idle", text: "GET / HTTP/1.1\r\nHost: x.example\r\n\r\n"},
	{name: "unused"},
	{name: "neverJoins", listener: "peers", text: "GET /v1/dispatch HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"},
}

// holdConnection connects a client that sends text and keeps its connection open.
func holdConnection(t *testing.T, address, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	is.New(t).NoErr(err)
	go func() { _, _ = io.Copy(io.Discard, conn) }()
}

// holdUnread connects a client that reads nothing, and sends requests until the process takes no
// more of them because its responses have no room.
func holdUnread(t *testing.T, address, text string) {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadBufferBytes)
		})
		return errors.Join(err, optionErr)
	}}
	conn, err := dialer.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	for err == nil {
		is.New(t).NoErr(conn.SetWriteDeadline(time.Now().Add(sentDelay)))
		_, err = io.WriteString(conn, text)
	}
	is.New(t).True(errors.Is(err, os.ErrDeadlineExceeded)) // the process takes no more
}

// Guards against a planned stop that waits for what clients don't send or read: the platform
// kills the process before the stop has ended, or the stop reports that it cut requests. A request
// that is being received when the stop begins is still answered.
func TestPlannedStopBesideUncontrolledClients(t *testing.T) {
	for _, role := range []string{"hosted-entry", "hosted-agent", "entry", "agent", "table", "endpoint"} {
		for _, shape := range stopShapes {
			t.Run(role+"/"+shape.name, func(t *testing.T) {
				is := is.New(t)
				p := startServing(t, role)
				var ordinary []net.Conn
				for name, address := range p.listeners {
					if shape.listener != "" && shape.listener != name {
						continue
					}
					if shape.unread {
						for range unreadCrowd {
							holdUnread(t, address, shape.text)
						}
					} else {
						for range stopCrowd {
							holdConnection(t, address, shape.text)
						}
					}
					conn, err := net.Dial("tcp", address)
					is.NoErr(err)
					t.Cleanup(func() { _ = conn.Close() })
					_, err = io.WriteString(conn, "GET /q/0000000000000002 HTTP/1.1\r\nHost: x.exam")
					is.NoErr(err)
					ordinary = append(ordinary, conn)
				}
				if ordinary == nil {
					t.Skip("the role has no such listener")
				}
				time.Sleep(sentDelay)
				answered := make(chan error, len(ordinary))
				for _, conn := range ordinary {
					go func() {
						_, _ = io.WriteString(conn, "ple\r\n\r\n") // the response shows whether it was read
						response, err := http.ReadResponse(bufio.NewReader(conn), nil)
						if err == nil {
							_ = response.Body.Close()
						}
						answered <- err
					}()
				}
				p.stop(t)
				for range ordinary {
					is.NoErr(<-answered)
				}
			})
		}
	}
}
