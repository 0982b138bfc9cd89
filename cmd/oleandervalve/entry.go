package main

import (
	"context"
	"crypto/tls"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/io/callerhttp"
	"oleandervalve/io/entry"
	"oleandervalve/io/peer"
	"oleandervalve/io/process"
	"oleandervalve/io/settings"
	"oleandervalve/io/tablehttp"
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
	files, stopFiles, err := loadCertificates(s.TLS, p.Log())
	if err != nil {
		p.Close()
		return err
	}
	defer stopFiles()
	config, auth, err := configure(e, s, p.Log())
	if err != nil {
		p.Close()
		return err
	}
	if config != nil {
		defer config.Close()
	}
	calls := callerhttp.Handler(e, auth, callerhttp.ServiceTimeout(e.DefaultTimeout),
		callerhttp.DefaultTimeout(s.Calls.DefaultTimeout), callerhttp.MaxBody(int64(s.Calls.MaxBody)))
	var peerTLS, operatorTLS *tls.Config
	if files != nil {
		peerTLS, operatorTLS = files.Server(), files.Listener()
	}
	if _, err := p.ListenTLS("peers", s.Listen.Peers, longestExchange, onlyPath(peer.Path, e.PeerHandler()), peerTLS); err != nil {
		p.Close()
		return err
	}
	if s.Listen.Operators != "" {
		if _, err := p.ListenTLS("operators", s.Listen.Operators, longestExchange, config.Handler(), operatorTLS); err != nil {
			p.Close()
			return err
		}
	}
	if _, err := p.Listen("callers", s.Listen.Callers, longestCall, calls); err != nil {
		p.Close()
		return err
	}
	ready := func() string {
		if e.Agents() == 0 {
			return "an agent has to connect"
		}
		if config != nil {
			return config.WaitsFor()
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

// configure connects the entry to the configuration in the table, if the
// settings name one, and chooses how callers are found.
func configure(e *entry.Entry, s settings.Settings, log *logrus.Entry) (*entry.Configuration, callerhttp.Authenticator, error) {
	var config *entry.Configuration
	if s.Table.URL != "" {
		var err error
		config, err = entry.NewConfiguration(e, tablehttp.NewClient(s.Table.URL, s.Table.Timeout), entry.ConfigurationOptions{
			AdminTeam: oleandervalve.TeamID(s.Operators.AdminTeam), BootstrapTokenHash: s.Operators.BootstrapTokenHash,
		})
		if err != nil {
			return nil, nil, err
		}
	}
	if s.Authentication == settings.AuthenticationHeaders {
		log.Warn("development mode: team and caller are taken from request headers without any check; use authentication tokens outside development")
		return config, callerhttp.TrustedHeaders{}, nil
	}
	return config, config.Authenticator(), nil
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
