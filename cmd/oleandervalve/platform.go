package main

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/pacing"
	"oleandervalve/io/executor"
	"oleandervalve/io/gateway"
	"oleandervalve/io/leader"
	"oleandervalve/io/process"
	"oleandervalve/platform"
)

const (
	// killMargin is the time between the end of a planned stop and the platform's kill of the
	// process.
	killMargin = 700 * time.Millisecond
	// maxNotice is how long listeners stay open after the entry reports that it is
	// not ready. The load balancer checks readiness every second and stops
	// forwarding after two failed checks.
	maxNotice = 2500 * time.Millisecond
	// memoryLimitShare is the share of the process's memory that is set as the Go
	// runtime's soft memory limit; the rest is for stacks and unread input.
	memoryLimitShare = 0.7
)

// listener is an address to serve and its handler.
type listener struct {
	name    string
	address string
	handler http.Handler
}

type hostedEntryCommand struct{}

type hostedAgentCommand struct{}

// startHosted loads the settings file that the platform provides, starts logging,
// sets the memory limit and watches for changes of the file.
func startHosted(role string) (platform.Settings, *process.Process, *process.LogWriter, error) {
	hangups := process.Hangups()
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return s, nil, nil, err
	}
	out := process.NewLogWriter(os.Stdout)
	p := process.New(s.Name, "info", out)
	p.Log().WithFields(logrus.Fields{"role": role, "address": s.IP, "settings": path, "table": s.TableAddress}).Info("started")
	p.Limit(s.Memory, s.Descriptors)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory)))
	go watchReload(hangups, path, p.Log())
	return s, p, out, nil
}

// watchReload validates the settings file on SIGHUP, which the platform sends when
// the file has changed. A running process keeps its addresses and limits.
func watchReload(hangups <-chan os.Signal, path string, log *logrus.Entry) {
	for range hangups {
		if _, err := platform.LoadSettings(path); err != nil {
			log.WithError(err).Error("changed settings file is invalid and was ignored")
			continue
		}
		log.Info("settings reloaded")
	}
}

// Execute runs an entry on the hosting platform until it is stopped.
func (c *hostedEntryCommand) Execute([]string) error {
	signals := process.Signals()
	s, p, out, err := startHosted("entry")
	if err != nil {
		return err
	}
	defer out.Close()
	var permits oleandervalve.PermitService
	if s.PermitAddress != "" {
		permits = platform.NewPermitClient(s.PermitAddress)
	}
	g := gateway.New(gateway.Options{
		Permits: permits,
		ID:      oleandervalve.EntryID(s.Name), Process: uuid.NewString(), Address: s.PeerAddress, Seeds: s.PeerSeeds, CPUShare: s.CPUShare, Memory: s.Memory, Link: s.Link,
		Table: platform.NewTableClient(s.TableAddress), Clock: oleandervalve.SystemClock(), Uptime: oleandervalve.SystemUptime, Log: p.Log(), Scope: p.Scope(),
		ConfigurationKey: platform.ConfigurationKey, Decode: platform.DecodeConfiguration,
		Retention: s.Retention, EarlyStart: s.EarlyStart, MaxRow: s.MaxRow,
		MaxLease: s.MaxLease, CancelDelay: s.CancelDelay,
		OperatorsPrefix: platform.OperatorsPrefix, EvacuationPrefix: platform.EvacuationPrefix, EvacuationDelay: s.EvacuationDelay, MoveInterval: s.MoveInterval,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, l := range []listener{
		{"callers", s.CallerAddress, platform.JobHandler(g)},
		{"readiness", s.ReadyAddress, platform.ReadyHandler(g)},
		{"peers", s.PeerAddress, g.Handler()},
		{"metrics", metricsAddress(s), p.HealthHandler(g.NotReadyReason)},
	} {
		if _, err := p.Listen(l.name, l.address, 0, l.handler); err != nil {
			p.Close()
			return err
		}
	}
	go g.Run(ctx)
	timeout := stopTimeout(s)
	notice := min(maxNotice, timeout/2)
	return p.Run(signals, process.StopOptions{IgnoreRepeated: true, Timeout: notice, ShutdownTimeout: timeout - notice, Notice: notice, Drain: func(ctx context.Context) bool {
		// Requests need the time after the notice. Other entries notice the end of this one
		// even if the table doesn't answer to the release of leadership.
		g.Stop(ctx)
		return true
	}})
}

// Execute runs the agent of an executor on the hosting platform until it is stopped.
func (c *hostedAgentCommand) Execute([]string) error {
	signals := process.Signals()
	s, p, out, err := startHosted("agent")
	if err != nil {
		return err
	}
	defer out.Close()
	store := platform.NewTableClient(s.TableAddress)
	a := executor.New(executor.Options{
		ID: oleandervalve.AgentID(s.Name), Seeds: s.PeerSeeds,
		LeaderAddress: func(ctx context.Context) (string, error) { return leader.Address(ctx, store) },
		Executor:      platform.NewExecutorClient(s.ExecutorAddress), Clock: oleandervalve.SystemClock(), Uptime: oleandervalve.SystemUptime, Log: p.Log(), Scope: p.Scope(),
		MaxLease: s.MaxLease, FirstStart: s.FirstStart, Pacing: pacing.Limits{ViolationLimit: s.ViolationLimit, ThrottleDelay: s.ThrottleDelay}, ProofLifetime: leader.ProofLifetime, CancelDelay: s.CancelDelay, EvacuationDelay: s.EvacuationDelay,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, l := range []listener{
		{"announcements", s.PeerAddress, platform.AnnouncementHandler(a, p.Log())},
		{"metrics", metricsAddress(s), p.HealthHandler(func() string { return "" })},
	} {
		if _, err := p.Listen(l.name, l.address, 0, l.handler); err != nil {
			p.Close()
			return err
		}
	}
	go a.Run(ctx)
	return p.Run(signals, process.StopOptions{IgnoreRepeated: true, ShutdownTimeout: stopTimeout(s)})
}

// stopTimeout returns the time for a planned stop, which ends before the platform kills the
// process.
func stopTimeout(s platform.Settings) time.Duration {
	return max(s.StopGrace-killMargin, s.StopGrace/2)
}

func metricsAddress(s platform.Settings) string { return s.IP + ":" + strconv.Itoa(s.FirstPort) }
