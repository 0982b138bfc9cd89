package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"time"

	"oleandervalve/core/operator"
	"oleandervalve/io/demo"
	"oleandervalve/io/process"
)

type devCommand struct {
	Seed    uint64 `long:"seed" default:"1" description:"seed of all random choices of the stand-ins"`
	Metrics string `long:"metrics" default:"127.0.0.1:0" value-name:"ADDRESS" description:"address of /healthz, /readyz and /metrics; port 0 picks a free one"`
	Verbose bool   `long:"verbose" description:"print the processes' logs"`
}

// Execute runs the whole system until it is stopped.
func (c *devCommand) Execute([]string) error {
	signals := process.Signals()
	level := "error"
	if c.Verbose {
		level = "info"
	}
	p := process.New("dev", level, os.Stderr)
	token := rand.Text()
	s, err := demo.Start(2, c.Seed, demo.PolicyFair, p.Log(), demo.WithScope(p.Scope()), demo.WithOperators(operator.HashToken(token)))
	if err != nil {
		p.Close()
		return err
	}
	defer s.Close()
	address, err := p.Listen("metrics", c.Metrics, maxExchangeDuration, p.HealthHandler(func() string { return "" }))
	if err != nil {
		p.Close()
		return err
	}
	for _, u := range s.URLs() {
		fmt.Printf("%-10s %s\n", u.Name, u.URL)
	}
	fmt.Printf("%-10s http://%s\n", "metrics", address)
	fmt.Printf("%-10s %s\n", "token", token)
	fmt.Println("development mode: callers are trusted without tokens, connections are not encrypted, and the operator token above was generated for this run")
	fmt.Println("operators use OLEANDERVALVE_TOKEN and --server with the URL of an entry")
	fmt.Println("ready; callers name their team in the header Oleandervalve-Team; end with Ctrl-C")
	return p.Run(signals, process.StopOptions{Timeout: 30 * time.Second, Drain: func(ctx context.Context) bool {
		return s.Drain(remainingTime(ctx))
	}})
}
