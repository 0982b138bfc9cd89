package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"

	"oleandervalve"
	"oleandervalve/io/process"
	"oleandervalve/io/settings"
	"oleandervalve/io/standin"
)

type standinCommand struct {
	settingsFlag
	role settings.Role
}

func newStandinCommand(r settings.Role) *standinCommand { return &standinCommand{role: r} }

// Execute runs a stand-in until it is stopped.
func (c *standinCommand) Execute([]string) error {
	s, err := c.load(c.role)
	if err != nil {
		return err
	}
	signals := process.Signals()
	p := newProcess(s)
	stop := process.StopOptions{Timeout: s.Drain.Timeout, Notice: s.Drain.Notice}
	if c.role == settings.RoleEndpoint {
		return runEndpoint(p, s, signals, stop)
	}
	if _, err = p.Listen("metrics", s.Listen.Metrics, maxExchangeDuration, p.HealthHandler(func() string { return "" })); err != nil {
		p.Close()
		return err
	}
	if _, err = p.Listen("service", s.Listen.Service, maxExchangeDuration, standinHandler(s)); err != nil {
		p.Close()
		return err
	}
	return p.Run(signals, stop)
}

func standinHandler(s settings.Settings) http.Handler {
	clock := oleandervalve.SystemClock()
	switch s.Role {
	case settings.RoleTable:
		return standin.NewTable(clock, s.Simulation.Seed).Handler()
	case settings.RoleObjects:
		return standin.NewObjects(s.Simulation.Seed).Handler()
	}
	workers := map[oleandervalve.WorkerID]oleandervalve.Resources{}
	for _, w := range s.Simulation.Workers {
		workers[oleandervalve.WorkerID(w)] = s.Worker.Capacity
	}
	return standin.NewPlatform(clock, standin.PlatformConfig{
		Workers: workers, UsageLag: s.Simulation.UsageLag, Seed: s.Simulation.Seed,
	}).Handler()
}

// runEndpoint runs an endpoint stand-in until it is stopped and then prints how
// often it executed each request.
func runEndpoint(p *process.Process, s settings.Settings, signals <-chan struct{}, stop process.StopOptions) error {
	runCounts := standin.NewExecutionLog()
	x, err := standin.StartEndpoint(standin.EndpointConfig{
		Announcement: oleandervalve.Announcement{
			Endpoint: oleandervalve.EndpointID(s.ID), Service: oleandervalve.ServiceName(s.Endpoint.Service),
			Address: s.Listen.Service, Slots: s.Endpoint.Slots, Connections: s.Endpoint.Connections,
		},
		AgentURL: s.Endpoint.Agent, ServiceTime: s.Endpoint.ServiceTime, Sigma: 0.3, Seed: s.Simulation.Seed,
		Executions: runCounts, AnnounceInterval: s.Announcement.Interval, DrainDelay: s.Drain.Notice,
		Listen: func(address string, h http.Handler) (string, error) { return p.Listen("service", address, 0, h) },
	})
	if err != nil {
		p.Close()
		return err
	}
	defer x.Close()
	ready := func() string {
		if !x.Announced() {
			return "an agent has to accept the announcement"
		}
		return ""
	}
	if _, err := p.Listen("metrics", s.Listen.Metrics, maxExchangeDuration, p.HealthHandler(ready)); err != nil {
		p.Close()
		return err
	}
	// Drain itself waits for the notice period, between leaving the agent and closing.
	stop.Notice = 0
	stop.Drain = func(ctx context.Context) bool {
		if err := x.Drain(ctx); err != nil {
			p.Log().WithError(err).Warn("endpoint did not drain cleanly")
		}
		return ctx.Err() == nil
	}
	if err := p.Run(signals, stop); err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(runCounts.Counts())
}
