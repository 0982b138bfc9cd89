package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
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
	// stopMargin is kept free of the platform's grace before it kills a process.
	stopMargin = 700 * time.Millisecond
	// stopNotice is how long listeners stay open after the entry reports that it
	// is not ready; the balancer checks every second and acts after two misses.
	stopNotice = 2500 * time.Millisecond
	// memoryShare is the share of the process's memory from which the collector
	// works harder; the rest is for stacks and unread input.
	memoryShare = 0.7
)

// listener is one address that a process serves.
type listener struct {
	name    string
	address string
	handler http.Handler
}

type hostedEntryCommand struct{}

type hostedAgentCommand struct{}

// startHosted loads the platform's settings and starts logging.
func startHosted(role string) (platform.Settings, *process.Process, *process.LogWriter, error) {
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return s, nil, nil, err
	}
	out := process.NewLogWriter(os.Stdout)
	p := process.New(s.Name, "info", out)
	p.Log().WithFields(logrus.Fields{"role": role, "address": s.IP, "settings": path, "table": s.TableAddress}).Info("started")
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	go watchReload(path, p.Log())
	return s, p, out, nil
}

// watchReload checks the settings file again when the platform says that it has
// changed. Addresses and limits of a running process stay as they are.
func watchReload(path string, log *logrus.Entry) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	for range c {
		if _, err := platform.LoadSettings(path); err != nil {
			log.WithError(err).Error("changed settings are invalid and are left out")
			continue
		}
		log.Info("settings reloaded")
	}
}

// Execute runs an entry on the users' platform until it is stopped.
func (c *hostedEntryCommand) Execute([]string) error {
	s, p, out, err := startHosted("entry")
	if err != nil {
		return err
	}
	defer out.Close()
	signals := process.Signals()
	var permits oleandervalve.PermitService
	if s.PermitAddress != "" {
		permits = platform.NewPermitClient(s.PermitAddress)
	}
	g := gateway.New(gateway.Options{
		Permits: permits,
		ID:      oleandervalve.EntryID(s.Name), Process: uuid.NewString(), Address: s.PeerAddress, Seeds: s.PeerSeeds, CPUShare: s.CPUShare,
		Table: platform.NewTableClient(s.TableAddress), Clock: oleandervalve.SystemClock(), Log: p.Log(), Scope: p.Scope(),
		ConfigurationKey: platform.ConfigurationKey, Decode: platform.DecodeConfiguration,
		Retention: s.Retention, EarlyStart: s.EarlyStart,
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
	return p.Run(signals, process.StopOptions{Timeout: s.StopGrace - stopMargin, Notice: min(stopNotice, s.StopGrace/2), Drain: func(ctx context.Context) bool {
		g.Stop(ctx)
		return true
	}})
}

// Execute runs the agent beside an executor of the users' platform until it is stopped.
func (c *hostedAgentCommand) Execute([]string) error {
	s, p, out, err := startHosted("agent")
	if err != nil {
		return err
	}
	defer out.Close()
	signals := process.Signals()
	store := platform.NewTableClient(s.TableAddress)
	a := executor.New(executor.Options{
		ID: oleandervalve.AgentID(s.Name), Seeds: s.PeerSeeds,
		LeaderAddress: func(ctx context.Context) (string, error) { return leader.Address(ctx, store) },
		Executor:      platform.NewExecutorClient(s.ExecutorAddress), Clock: oleandervalve.SystemClock(), Log: p.Log(), Scope: p.Scope(),
		MaxLease: s.MaxLease, Pacing: pacing.Limits{ViolationLimit: s.ViolationLimit, ThrottleDelay: s.ThrottleDelay}, ProofLifetime: leader.ProofLifetime,
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
	return p.Run(signals, process.StopOptions{Timeout: s.StopGrace - stopMargin})
}

func metricsAddress(s platform.Settings) string { return s.IP + ":" + strconv.Itoa(s.FirstPort) }
