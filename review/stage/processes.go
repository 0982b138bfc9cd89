package main

import (
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

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 300 * time.Millisecond

// hosted is one of the project's programs. It is started again whenever it ends.
type hosted struct {
	name string
	args []string
	conf string
	log  *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	closed bool
	exited chan struct{}
}

// startHosted writes the settings file of a process and starts it.
func startHosted(dir, binary, role, name string, settings []string) (*hosted, error) {
	h := &hosted{name: name, args: []string{binary, role}, conf: filepath.Join(dir, name+".conf"), exited: make(chan struct{})}
	if err := os.WriteFile(h.conf, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	var err error
	if h.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	go h.run()
	return h, nil
}

func (h *hosted) run() {
	defer close(h.exited)
	for {
		c := exec.Command(h.args[0], h.args[1:]...) //nolint:gosec // the program is given by whoever runs the case
		c.Env = []string{"OLEANDERVALVE_BOOT=" + h.conf, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
		c.Stdout, c.Stderr = h.log, h.log
		h.mu.Lock()
		if h.closed {
			h.mu.Unlock()
			return
		}
		err := c.Start()
		h.cmd = c
		h.mu.Unlock()
		if err == nil {
			err = c.Wait()
		}
		_, _ = fmt.Fprintln(h.log, "process ended:", err) // the log is best effort
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process if it runs.
func (h *hosted) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s) // fails only if the process has ended
	}
}

// close ends the process for good.
func (h *hosted) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// Ports below those that systems give to outgoing connections.
const (
	firstPort = 10000
	lastPort  = 29999
)

// newIP returns a loopback address of this run's own, so that no other program takes its ports.
func newIP() string {
	return net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254))).String()
}

// freeAddresses returns addresses that nothing listens at.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for attempts := 0; len(out) < n; attempts++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort))))
		if err != nil && attempts > 10*n {
			return nil, err
		}
		if err == nil {
			defer l.Close()
			out = append(out, l.Addr().String())
		}
	}
	return out, nil
}

// settingsOf returns the settings of a process of a small deployment.
func settingsOf(name, class string, front, ready, control, own, table, app string, seeds []string) []string {
	ip, port, _ := net.SplitHostPort(own) // own is one of freeAddresses
	s := []string{
		"nodeName=" + name, "role=" + class, "machineClass=" + class, "ip=" + ip, "zone=z", "region=r", "zones.z=r",
		"portRange=" + port + "," + port, "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "lossCounts=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=local", "entry=vip", "heartbeatMs=1500", "orders=request",
		"bounds.drainMs=2000", "bounds.graceS=6", "bounds.configApplyMs=2000", "bounds.maxHoldMs=10000", "bounds.stopMs=200",
		"bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.status_s=120",
		"bounds.paceMs=100", "bounds.harmMs=4000", "bounds.enforceFencing=false",
		"platform.address=" + table, "platform.form=table", "platform.writesPerS=800", "platform.readsPerS=2000", "platform.txMs=5.0",
		"platform.partitionWritesS=200", "platform.rowBytes=65536", "platform.across=false", "platform.historyS=20",
		"listen.controlAddr=" + control,
	}
	if front != "" {
		return append(s, "serves=edge,control_plane", "listen.front="+front, "listen.readyAddr="+ready)
	}
	return append(s, "serves=side", "service="+service, "app="+app)
}
