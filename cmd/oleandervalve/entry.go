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
	options := []entry.Option{entry.WithLog(p.Log()), entry.WithScope(p.Scope()), entry.WithLocation(s.Location)}
	if s.Table.URL != "" {
		options = append(options, entry.WithKeys(tablehttp.NewClient(s.Table.URL, s.Table.Timeout), entry.DefaultKeyOptions()))
	}
	e := entry.New(oleandervalve.EntryID(s.ID), options...)
	defer e.Close()
	owner := ownTasks(e, s, p)
	if owner != nil {
		defer owner.Close()
	}
	files, stopFiles, err := loadCertificates(s.TLS, p.Log())
	if err != nil {
		p.Close()
		return err
	}
	defer stopFiles()
	config, auth, err := configure(e, s, owner, p.Log())
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
		calls = withJobs(calls, jobhttp.Handler(owner, auth))
	}
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
			return config.NotReadyReason()
		}
		return ""
	}
	if _, err := p.Listen("metrics", s.Listen.Metrics, longestExchange, p.HealthHandler(ready)); err != nil {
		p.Close()
		return err
	}
	return p.Run(signals, process.Stop{Timeout: s.Drain.Timeout, Notice: s.Drain.Notice, Drain: func(ctx context.Context) bool {
		drained := e.Drain(timeLeft(ctx))
		if owner != nil {
			// Other entries take the shards over at once instead of after the session.
			owner.Release()
		}
		return drained
	}})
}

// ownTasks makes the entry place tasks if the settings name the table and the platform.
func ownTasks(e *entry.Entry, s settings.Settings, p *process.Process) *taskowner.Owner {
	if s.Table.URL == "" || s.Platform.URL == "" {
		return nil
	}
	o := taskowner.New(oleandervalve.EntryID(s.ID), s.Listen.Peers,
		tablehttp.NewClient(s.Table.URL, s.Table.Timeout), platformhttp.NewClient(s.Platform.URL, s.Platform.Timeout), e,
		taskowner.WithLog(p.Log()), taskowner.WithScope(p.Scope()))
	e.SetTaskOwner(o)
	return o
}

// withJobs serves the job API beside the calls of services.
func withJobs(calls, jobs http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle("/", calls)
	m.Handle("/v1/jobs", jobs)
	m.Handle("/v1/jobs/", jobs)
	return m
}

// configure connects the entry to the configuration in the table, if the
// settings name one, and chooses how callers are found.
func configure(e *entry.Entry, s settings.Settings, owner *taskowner.Owner, log *logrus.Entry) (*entry.Configuration, callerhttp.Authenticator, error) {
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
