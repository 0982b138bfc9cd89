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
	"oleandervalve/io/jobhttp"
	"oleandervalve/io/peer"
	"oleandervalve/io/platformhttp"
	"oleandervalve/io/process"
	"oleandervalve/io/settings"
	"oleandervalve/io/tablehttp"
	"oleandervalve/io/taskowner"
)

const (
	// maxCallDuration bounds reading a caller's request and writing its response.
	// Callers may set a timeout of at most ten minutes.
	maxCallDuration = 11 * time.Minute
	// maxExchangeDuration is the same bound for listeners that carry small messages only.
	maxExchangeDuration = 30 * time.Second
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
	options := []entry.Option{entry.WithLog(p.Log()), entry.WithScope(p.Scope()), entry.WithLocation(s.Location)}
	if s.Table.URL != "" {
		options = append(options, entry.WithKeys(tablehttp.NewClient(s.Table.URL, s.Table.Timeout), entry.DefaultKeyOptions()))
	}
	e := entry.New(oleandervalve.EntryID(s.ID), options...)
	defer e.Close()
	owner := newTaskOwner(e, s, p)
	if owner != nil {
		defer owner.Close()
	}
	files, stopFiles, err := loadCertificates(s.TLS, p.Log())
	if err != nil {
		p.Close()
		return err
	}
	defer stopFiles()
	config, auth, err := connectConfiguration(e, s, owner, p.Log())
	if err != nil {
		p.Close()
		return err
	}
	if config != nil {
		defer config.Close()
	}
	calls := callerhttp.Handler(e, auth, callerhttp.ServiceTimeout(e.DefaultTimeout),
		callerhttp.DefaultTimeout(s.Calls.DefaultTimeout), callerhttp.MaxBody(int64(s.Calls.MaxBody)))
	if owner != nil {
		calls = withJobHandler(calls, jobhttp.Handler(owner, auth))
	}
	var peerTLS, operatorTLS *tls.Config
	if files != nil {
		peerTLS, operatorTLS = files.Server(), files.ServerWithoutClientCerts()
	}
	if _, err := p.ListenTLS("peers", s.Listen.Peers, maxExchangeDuration, handleOnly(peer.Path, e.PeerHandler()), peerTLS); err != nil {
		p.Close()
		return err
	}
	if s.Listen.Operators != "" {
		if _, err := p.ListenTLS("operators", s.Listen.Operators, maxExchangeDuration, config.Handler(), operatorTLS); err != nil {
			p.Close()
			return err
		}
	}
	if _, err := p.Listen("callers", s.Listen.Callers, maxCallDuration, calls); err != nil {
		p.Close()
		return err
	}
	ready := func() string {
		if e.Agents() == 0 {
			return "an agent has to connect"
		}
		if config != nil {
			return config.NotReadyReason()
		}
		return ""
	}
	if _, err := p.Listen("metrics", s.Listen.Metrics, maxExchangeDuration, p.HealthHandler(ready)); err != nil {
		p.Close()
		return err
	}
	return p.Run(signals, process.StopOptions{Timeout: s.Drain.Timeout, Notice: s.Drain.Notice, Drain: func(ctx context.Context) bool {
		drained := e.Drain(remainingTime(ctx))
		if owner != nil {
			// Release the shards so that other entries can acquire them at once
			// instead of after the session expires.
			owner.Release()
		}
		return drained
	}})
}

// newTaskOwner makes the entry place tasks. It returns nil if the settings lack
// the table or the platform.
func newTaskOwner(e *entry.Entry, s settings.Settings, p *process.Process) *taskowner.Owner {
	if s.Table.URL == "" || s.Platform.URL == "" {
		return nil
	}
	o := taskowner.New(oleandervalve.EntryID(s.ID), s.Listen.Peers,
		tablehttp.NewClient(s.Table.URL, s.Table.Timeout), platformhttp.NewClient(s.Platform.URL, s.Platform.Timeout), e,
		taskowner.WithLog(p.Log()), taskowner.WithScope(p.Scope()))
	e.SetTaskOwner(o)
	return o
}

// withJobHandler routes the job API to jobs and all other paths to calls.
func withJobHandler(calls, jobs http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle("/", calls)
	m.Handle("/v1/jobs", jobs)
	m.Handle("/v1/jobs/", jobs)
	return m
}

// connectConfiguration connects the entry to the configuration in the table, if
// the settings name one, and chooses how callers are authenticated.
func connectConfiguration(e *entry.Entry, s settings.Settings, owner *taskowner.Owner, log *logrus.Entry) (*entry.Configuration, callerhttp.Authenticator, error) {
	var config *entry.Configuration
	if s.Table.URL != "" {
		o := entry.ConfigurationOptions{
			AdminTeam: oleandervalve.TeamID(s.Operators.AdminTeam), BootstrapTokenHash: s.Operators.BootstrapTokenHash,
		}
		if owner != nil {
			o.Tasks = owner
		}
		var err error
		config, err = entry.NewConfiguration(e, tablehttp.NewClient(s.Table.URL, s.Table.Timeout), o)
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

// newProcess sets up logging and metrics and warns about settings that are not
// in use yet.
func newProcess(s settings.Settings) *process.Process {
	p := process.New(s.ID, s.LogLevel, os.Stderr)
	if reserved := s.Reserved(); len(reserved) > 0 {
		p.Log().WithField("fields", reserved).Warn("settings have no effect yet; see the column reserved in docs/settings.md")
	}
	return p
}

func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxCallDuration
	}
	return time.Until(deadline)
}

func handleOnly(path string, h http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle(path, h)
	return m
}
