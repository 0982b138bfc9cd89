package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"oleandervalve"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/entry"
	"oleandervalve/io/peer"
	"oleandervalve/io/process"
	"oleandervalve/io/settings"
)

const (
	// longestCall bounds a whole exchange with a caller: the longest timeout
	// that a caller may ask for is ten minutes.
	longestCall = 11 * time.Minute
	// longestExchange bounds exchanges that only carry small messages.
	longestExchange = 30 * time.Second
)

type entryCommand struct {
	settingsFlag
}

// Execute runs an entry until it is stopped.
func (c *entryCommand) Execute([]string) error {
	s, err := c.load(settings.RoleEntry)
	if err != nil {
		return err
	}
	signals := process.Signals()
	p := newProcess(s)
	e := entry.New(oleandervalve.EntryID(s.ID), entry.WithLog(p.Log()), entry.WithScope(p.Scope()))
	defer e.Close()
	calls := callerhttp.Handler(e, callerhttp.TrustedHeaders{},
		callerhttp.DefaultTimeout(s.Calls.DefaultTimeout), callerhttp.MaxBody(int64(s.Calls.MaxBody)))
	if _, err := p.Listen("peers", s.Listen.Peers, longestExchange, onlyPath(peer.Path, e.PeerHandler())); err != nil {
		p.Close()
		return err
	}
	if _, err := p.Listen("callers", s.Listen.Callers, longestCall, calls); err != nil {
		p.Close()
		return err
	}
	ready := func() string {
		if e.Agents() == 0 {
			return "an agent has to connect"
		}
		return ""
	}
	if _, err := p.Listen("metrics", s.Listen.Metrics, longestExchange, p.HealthHandler(ready)); err != nil {
		p.Close()
		return err
	}
	return p.Run(signals, process.Stop{Timeout: s.Drain.Timeout, Notice: s.Drain.Notice, Drain: func(ctx context.Context) bool {
		return e.Drain(timeLeft(ctx))
	}})
}

// newProcess starts the log and the metrics of a process.
func newProcess(s settings.Settings) *process.Process {
	p := process.New(s.ID, s.LogLevel, os.Stderr)
	if list := s.Reserved(); len(list) > 0 {
		p.Log().WithField("fields", list).Warn("settings have no effect yet; see the column reserved in docs/settings.md")
	}
	return p
}

func timeLeft(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return longestCall
	}
	return time.Until(end)
}

func onlyPath(path string, h http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle(path, h)
	return m
}
