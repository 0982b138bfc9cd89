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
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve/platform"
	"oleandervalve/platform/emulator"
)

// hostedProcess is a process that waits for its settings.
type hostedProcess struct {
	command  *exec.Cmd
	address  string
	settings *os.File
	text     string
	// ended is closed when the process has ended, and err tells how.
	ended chan struct{}
	err   error
}

// startHostedProcess starts a process whose settings file is a pipe, and returns once the
// process has opened it.
func startHostedProcess(t *testing.T, role string) *hostedProcess {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "local.conf")
	is.NoErr(syscall.Mkfifo(path, 0o600))
	addresses := freeAddresses(t, 4)
	_, port, err := net.SplitHostPort(addresses[3])
	is.NoErr(err)
	p := &hostedProcess{command: exec.Command("oleandervalve", role), address: addresses[0], ended: make(chan struct{})}
	if role == "hosted-agent" {
		p.address = addresses[2]
	}
	p.text = strings.Join([]string{
		"nodeName=n", "ip=127.0.0.1", "zone=z", "portRange=" + port + "," + port, "platform.address=127.0.0.1:1", "app=127.0.0.1:1",
		"listen.front=" + addresses[0], "listen.readyAddr=" + addresses[1], "listen.controlAddr=" + addresses[2], "bounds.graceS=6",
	}, "\n") + "\n"
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	is.NoErr(p.command.Start())
	go func() {
		defer close(p.ended)
		p.err = p.command.Wait()
	}()
	t.Cleanup(func() { _ = p.command.Process.Kill() })
	p.settings, err = os.OpenFile(path, os.O_WRONLY, 0)
	is.NoErr(err)
	return p
}

// passSettings lets the process start.
func (p *hostedProcess) passSettings() {
	_, _ = io.WriteString(p.settings, p.text) // fails if the process has ended
	_ = p.settings.Close()
}

// waitUntilListening waits until callers can connect to the process.
func (p *hostedProcess) waitUntilListening(t *testing.T) {
	t.Helper()
	for {
		if c, err := net.Dial("tcp", p.address); err == nil {
			_ = c.Close()
			return
		}
		select {
		case <-p.ended:
			t.Fatalf("the process has ended: %v", p.err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// wait returns how the process has ended.
func (p *hostedProcess) wait() error {
	<-p.ended
	return p.err
}

// Guards against a process that a change of its settings, or a planned stop, ends at once while
// it starts: it set up the signals only after it had read the settings.
func TestSignalsWhileProcessStarts(t *testing.T) {
	for _, role := range []string{"hosted-entry", "hosted-agent"} {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			t.Run(fmt.Sprintf("%s/%s", role, s), func(t *testing.T) {
				is := is.New(t)
				p := startHostedProcess(t, role)
				is.NoErr(p.command.Process.Signal(s))
				p.passSettings()
				if s != syscall.SIGTERM {
					p.waitUntilListening(t)
					is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
				}
				is.NoErr(p.wait()) // planned stop
			})
		}
	}
}

// Guards against a planned stop that cuts a request because the platform asks for it twice.
func TestRepeatedStopSignalCutsNoRequest(t *testing.T) {
	is := is.New(t)
	p := startHostedProcess(t, "hosted-entry")
	p.passSettings()
	p.waitUntilListening(t)
	c, err := net.Dial("tcp", p.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /q/0000000000000001 HTTP/1.1\r\n")
	is.NoErr(err)
	is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	_, _ = io.WriteString(c, "Host: x\r\n\r\n") // the answer shows whether it was read
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // no configuration yet
	is.NoErr(p.wait())
}

// Guards against a planned stop that keeps callers' connections open until the platform ends the
// process, because the table doesn't answer to the release of leadership.
func TestPlannedStopWhileTableIsSilent(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(1)
	table.Put("op", "", "config", emulator.RouteConfig(1, "x.example", "/q/", "s"))
	var silent atomic.Bool
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-release
			return
		}
		table.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	p := startHostedProcess(t, "hosted-entry")
	p.text = strings.ReplaceAll(p.text, "platform.address=127.0.0.1:1", "platform.address="+server.Listener.Addr().String())
	p.text = strings.ReplaceAll(p.text, "bounds.graceS=6", "bounds.graceS=600")
	p.passSettings()
	p.waitUntilListening(t)
	for {
		request, err := http.NewRequest(http.MethodGet, "http://"+p.address+"/q/", nil)
		is.NoErr(err)
		request.Host = "x.example"
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		if response.StatusCode == http.StatusOK {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	silent.Store(true)
	is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.ended:
		is.NoErr(p.err)
	case <-time.After(time.Minute):
		t.Fatal("the process waits for the table")
	}
}
