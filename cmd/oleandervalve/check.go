package main

import (
	"context"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"oleandervalve"
	"oleandervalve/core/check"
	"oleandervalve/core/work"
	"oleandervalve/io/operatorcli"
	"oleandervalve/io/settings"
	"oleandervalve/platform"
)

const checkHelp = `Prints all problems at once, each with line, field and remedy. Nothing is changed anywhere.
Example: oleandervalve check --settings examples/entry-1.yaml
Example: oleandervalve check -f formaro.yaml --in-force
Example: oleandervalve check -f config.json --against earlier.json --output json

Exit codes of the check of a configuration: 0 clean, 1 findings, 2 an input can't be read.`

// tableReadTimeout is the timeout for reading the row in force. An operator waits for
// it, so it is longer than that of the processes, which read again.
const tableReadTimeout = 5 * time.Second

type checkCommand struct {
	Settings  string `long:"settings" value-name:"FILE" description:"settings file to check"`
	Reference bool   `long:"reference" description:"print the reference of all settings as a Markdown page"`
	operatorcli.CheckCommand
}

func newCheckCommand() *checkCommand {
	c := &checkCommand{}
	c.Bind(&operatorcli.Environment{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Clock: oleandervalve.SystemClock(), Context: context.Background(), Hosted: hostedFormat{},
	})
	return c
}

// Execute prints the effective settings of a file or the settings reference, or checks a
// configuration.
func (c *checkCommand) Execute([]string) error {
	given := 0
	for _, set := range []bool{c.Settings != "", c.Reference, c.File != ""} {
		if set {
			given++
		}
	}
	switch {
	case given != 1:
		return &flags.Error{Type: flags.ErrRequired, Message: "give either --settings FILE or --reference, or -f FILE with a configuration"}
	case c.File != "":
		return c.CheckCommand.Execute(nil)
	case c.Reference:
		return settings.WriteReference(os.Stdout)
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	return s.Write(os.Stdout)
}

// hostedFormat checks the configuration row of the hosting platform.
type hostedFormat struct{}

// Check reads what the query asks for and returns the report.
func (hostedFormat) Check(ctx context.Context, text []byte, q operatorcli.HostedQuery) (check.Report, error) {
	c, err := platform.ReadConfiguration(text)
	if err != nil {
		return check.Report{}, err
	}
	inForce, err := hostedInForce(ctx, q)
	if err != nil {
		return check.Report{}, err
	}
	f := check.RouteFacts{Executors: map[oleandervalve.ServiceName]int{}, Estimates: map[work.QueueName]time.Duration{}, OpenJobs: map[work.QueueName]int{}}
	for s, n := range q.Executors {
		f.Executors[oleandervalve.ServiceName(s)] = n
	}
	for n, d := range q.Estimates {
		f.Estimates[work.QueueName(n)] = d
	}
	if q.Callers != "" && inForce != nil {
		for _, r := range c.RoutesToCount(inForce) {
			n, err := platform.CountWaiting(ctx, q.Callers, r)
			if err != nil {
				return check.Report{}, &operatorcli.InputError{Input: "number of jobs that wait in queue " + string(r.Queue.Name), Cause: err}
			}
			f.OpenJobs[r.Queue.Name] = n
		}
	}
	return c.Check(inForce, f), nil
}

// hostedInForce returns the configuration to compare with, or nil if none was asked for.
func hostedInForce(ctx context.Context, q operatorcli.HostedQuery) (*platform.ConfigurationText, error) {
	var c *platform.ConfigurationText
	var err error
	input := "second file"
	switch {
	case q.InForce && q.Table == "":
		return nil, &oleandervalve.InvalidError{Field: "--table", Remedy: "give the address of the table service with --in-force"}
	case q.InForce:
		input = "version in force"
		ctx, cancel := context.WithTimeout(ctx, tableReadTimeout)
		defer cancel()
		c, err = platform.FetchConfiguration(ctx, platform.NewTableClient(q.Table))
	case q.Against != nil:
		c, err = platform.ReadConfiguration(q.Against)
	}
	if err != nil {
		return nil, &operatorcli.InputError{Input: input, Cause: err}
	}
	return c, nil
}
