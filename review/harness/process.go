package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is a process of the project, which is started again when it ends.
type program struct {
	name     string
	role     string
	settings string
	log      *os.File
	record   *record

	front, ready, control string

	mu      sync.Mutex
	command *exec.Cmd
	// delay is the time between an end and the next start.
	delay   time.Duration
	closing bool
	ended   chan struct{}
}

const (
	firstPort = 10000
	lastPort  = 29999
)

// ports holds the ports that are in use by the harness.
type ports map[int]bool

// free returns a loopback address with a free port.
func (p ports) free() (string, error) {
	for range 200 {
		n := firstPort + rand.IntN(lastPort-firstPort+1)
		address := "127.0.0.1:" + strconv.Itoa(n)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		if !p[n] {
			p[n] = true
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}

// newProgram writes the settings file of a process.
func newProgram(directory, role, class, name string, r *record, p ports, extra map[string]string) (*program, error) {
	g := &program{name: name, role: role, record: r, delay: 300 * time.Millisecond, ended: make(chan struct{})}
	var err error
	own := ""
	for _, a := range []*string{&g.front, &g.ready, &g.control, &own} {
		if *a, err = p.free(); err != nil {
			return nil, err
		}
	}
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return nil, err
	}
	lines := []string{
		"nodeName=" + name, "role=" + role, "machineClass=" + class, "ip=127.0.0.1", "zone=pest-a", "region=pest", "zones.pest-a=pest",
		"listen.front=" + g.front, "listen.readyAddr=" + g.ready, "listen.controlAddr=" + g.control, "portRange=" + port + "," + port,
		"limits.cpuShare=0.24", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "discovery=local", "entry=vip",
		"heartbeatMs=1500", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.configApplyMs=2000",
		"bounds.maxHoldMs=10000", "bounds.stopMs=200", "bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.checkpointS=1", "bounds.restoreMs=100",
		"bounds.paceMs=100", "bounds.harmMs=4000", "orders=request", "platform.form=table", "platform.rowBytes=65536",
	}
	for k, v := range extra {
		lines = append(lines, k+"="+v)
	}
	g.settings = filepath.Join(directory, name+".conf")
	if err := os.WriteFile(g.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	g.log, err = os.Create(filepath.Join(directory, name+".log"))
	return g, err
}

// run starts the process, and starts it again whenever it ends, until close.
func (g *program) run() {
	defer close(g.ended)
	for {
		c := exec.Command("target/oleandervalve", "hosted-"+g.role) //nolint:gosec // the roles are constants
		c.Env = []string{"OLEANDERVALVE_BOOT=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		c.Stdout, c.Stderr = g.log, g.log
		g.mu.Lock()
		if g.closing {
			g.mu.Unlock()
			return
		}
		err := c.Start()
		g.command = c
		g.mu.Unlock()
		if err != nil {
			g.record.add("event  %s can't be started: %v", g.name, err)
		} else {
			g.record.add("event  %s starts", g.name)
			err = c.Wait()
			g.record.add("event  %s ends: %v", g.name, err)
		}
		g.mu.Lock()
		delay := g.delay
		if g.closing {
			delay = 0
		}
		g.mu.Unlock()
		time.Sleep(delay)
	}
}

// signal sends a signal to the process.
func (g *program) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil && g.command.Process != nil && g.command.ProcessState == nil {
		_ = g.command.Process.Signal(s) // fails only if the process has just ended
	}
}

// kill ends the process. It is started again after a delay.
func (g *program) kill(delay time.Duration) {
	g.mu.Lock()
	g.delay = delay
	g.mu.Unlock()
	g.record.add("event  SIGKILL to %s, which starts again after %s", g.name, delay)
	g.signal(syscall.SIGKILL)
}

// remove ends the process, which is not started again.
func (g *program) remove() {
	g.mu.Lock()
	g.closing = true
	g.mu.Unlock()
	g.record.add("event  the machine of %s is lost for good", g.name)
	g.signal(syscall.SIGKILL)
}

// close ends the process for good.
func (g *program) close(ctx context.Context) {
	g.mu.Lock()
	g.closing = true
	g.mu.Unlock()
	g.signal(syscall.SIGKILL)
	select {
	case <-g.ended:
	case <-ctx.Done():
	}
	g.log.Close()
}
