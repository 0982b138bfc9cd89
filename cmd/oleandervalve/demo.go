package main

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"oleandervalve/io/demo"
)

type demoCommand struct {
	Scenario string `long:"scenario" default:"steady" choice:"steady" choice:"flood-low" choice:"flood-urgent" choice:"noisy" choice:"store-outage" choice:"worker-loss" choice:"rolling-restart" description:"what happens during the run"`
	Policy   string `long:"policy" default:"fair" choice:"fair" choice:"baseline" description:"the policy in force"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of all random choices of the load"`
	Seconds  int    `long:"seconds" default:"10" description:"how long work is driven"`
	JSON     bool   `long:"json" description:"print the report as JSON"`
	Verbose  bool   `long:"verbose" description:"print the processes' logs"`
}

// Execute runs the demo and fails if the report contains violations.
func (c *demoCommand) Execute([]string) error {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	if !c.Verbose {
		log.SetLevel(logrus.ErrorLevel)
	}
	o := demo.Options{Scenario: c.Scenario, Policy: c.Policy, Seed: c.Seed, Seconds: c.Seconds, Log: logrus.NewEntry(log)}
	if !c.JSON && isTerminal(os.Stderr) {
		o.Progress = os.Stderr
	}
	r, err := demo.Run(o)
	if err != nil {
		return err
	}
	if c.JSON {
		err = r.WriteJSON(os.Stdout)
	} else {
		err = r.WriteTable(os.Stdout)
	}
	if err == nil && r.Violations.Total() > 0 {
		err = errors.Newf("%d violations: see the table", r.Violations.Total())
	}
	return err
}

// isTerminal reports whether a file is a character device. Progress lines are
// written only to a terminal, not to files and pipes.
func isTerminal(f *os.File) bool {
	i, err := f.Stat()
	return err == nil && i.Mode()&os.ModeCharDevice != 0
}
