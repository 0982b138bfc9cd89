package main

import (
	"context"

	"oleandervalve"
	"oleandervalve/io/agent"
	"oleandervalve/io/objecthttp"
	"oleandervalve/io/peer"
	"oleandervalve/io/platformhttp"
	"oleandervalve/io/process"
	"oleandervalve/io/settings"
	"oleandervalve/io/tablehttp"
)

type agentCommand struct {
	settingsFlag
}

// Execute runs an agent until it is stopped.
func (c *agentCommand) Execute([]string) error {
	s, err := c.load(settings.RoleAgent)
	if err != nil {
		return err
	}
	signals := process.Signals()
	p := newProcess(s)
	urls := make([]string, 0, len(s.Entries))
	for _, u := range s.Entries {
		urls = append(urls, u+peer.Path)
	}
	files, stopFiles, err := loadCertificates(s.TLS, p.Log())
	if err != nil {
		p.Close()
		return err
	}
	defer stopFiles()
	options := []agent.Option{
		agent.WithLog(p.Log()), agent.WithScope(p.Scope()),
		agent.WithLocation(s.Location), agent.WithWorker(oleandervalve.WorkerID(s.Worker.ID)), agent.WithHeartbeat(s.Heartbeat.Interval),
	}
	if files != nil {
		options = append(options, agent.WithDialTLS(files.DialTLS))
	}
	if s.Table.URL != "" && s.StoreKeys == "yes" {
		options = append(options, agent.WithKeys(tablehttp.NewClient(s.Table.URL, s.Table.Timeout), agent.DefaultKeyOptions()))
	}
	if s.Platform.URL != "" && s.Objects.URL != "" && s.Worker.ID != "" {
		options = append(options, agent.WithPlatform(
			platformhttp.NewClient(s.Platform.URL, s.Platform.Timeout), objecthttp.NewClient(s.Objects.URL, s.Objects.Timeout)))
	}
	a := agent.New(oleandervalve.AgentID(s.ID), urls, options...)
	if _, err := p.Listen("announcements", s.Listen.Announcements, maxExchangeDuration, a.AnnounceHandler()); err != nil {
		a.Close()
		p.Close()
		return err
	}
	if _, err := p.Listen("metrics", s.Listen.Metrics, maxExchangeDuration, p.HealthHandler(a.NotReadyReason)); err != nil {
		a.Close()
		p.Close()
		return err
	}
	err = p.Run(signals, process.StopOptions{Timeout: s.Drain.Timeout, Notice: s.Drain.Notice, Drain: func(ctx context.Context) bool {
		return a.Drain(remainingTime(ctx))
	}})
	if err != nil {
		a.Close()
		return err
	}
	a.Shutdown()
	return nil
}
