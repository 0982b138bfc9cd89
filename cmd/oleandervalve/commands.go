package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"oleandervalve"
	"oleandervalve/io/operatorcli"
	"oleandervalve/io/operatorhttp"
	"oleandervalve/io/settings"
	"oleandervalve/platform"
)

// Exit codes, documented in the help text and in README.md.
const (
	exitError       = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
)

func addCommands(p *flags.Parser) {
	addCommand(p.Command, "entry", "run an entry, which accepts calls and routes them",
		"Runs until SIGTERM or SIGINT, then refuses new calls and finishes those in flight. Example: oleandervalve entry --settings examples/entry-1.yaml", &entryCommand{})
	addCommand(p.Command, "agent", "run the agent of one instance",
		"Runs until SIGTERM or SIGINT, then finishes the requests in flight. Example: oleandervalve agent --settings examples/agent-1.yaml", &agentCommand{})
	addCommand(p.Command, "hosted-entry", "run an entry on the users' platform",
		"Reads the settings file that the variable "+platform.SettingsVariable+" names.", &hostedEntryCommand{})
	addCommand(p.Command, "hosted-agent", "run the agent beside an executor of the users' platform",
		"Reads the settings file that the variable "+platform.SettingsVariable+" names.", &hostedAgentCommand{})
	addCommand(p.Command, "soak", "run entries and agents as processes against the emulated platform and inject faults",
		"Prints one line of JSON for each seed. Example: oleandervalve soak --seed 1 --seeds 5 --duration 20s", &soakCommand{})
	addCommand(p.Command, "experiment", "play a load against the decision code with baselines beside it",
		"Runs on a fake clock and prints what callers get. Example: oleandervalve experiment --burst 2.5 --seeds 5", &experimentCommand{})
	addCommand(p.Command, "check", "check a settings file and print the settings in force, or check a configuration before it is sent", checkHelp, newCheckCommand())
	standin := addCommand(p.Command, "standin", "run a stand-in of an external system",
		"Example: oleandervalve standin endpoint --settings examples/endpoint-1.yaml", &struct{}{})
	addCommand(standin, "table", "run the stand-in of the transactional table service",
		"Example: oleandervalve standin table --settings examples/table.yaml", newStandinCommand(settings.RoleTable))
	addCommand(standin, "objects", "run the stand-in of the object store",
		"Example: oleandervalve standin objects --settings examples/objects.yaml", newStandinCommand(settings.RoleObjects))
	addCommand(standin, "platform", "run the stand-in of the worker platform",
		"Example: oleandervalve standin platform --settings examples/platform.yaml", newStandinCommand(settings.RolePlatform))
	addCommand(standin, "endpoint", "run the stand-in of an endpoint",
		"On SIGTERM or SIGINT it leaves its agent, finishes its requests and prints their counts. Example: oleandervalve standin endpoint --settings examples/endpoint-1.yaml",
		newStandinCommand(settings.RoleEndpoint))
	addCommand(p.Command, "dev", "run the whole system with stand-ins in one process",
		"Listens on loopback, prints its URLs and runs until SIGTERM or SIGINT. Example: oleandervalve dev --metrics 127.0.0.1:7100", &devCommand{})
	addCommand(p.Command, "demo", "run the whole system with stand-ins, drive work and print the result",
		"Example: oleandervalve demo --scenario steady --seconds 10", &demoCommand{})
	addCommand(p.Command, "latency", "compare direct calls with calls through entry and agent in one run",
		"Example: oleandervalve latency --callers 1 --callers 64 --callers 512", &latencyCommand{})
	addOperatorCommands(p)
	addCommand(p.Command, "version", "print the version", "Example: oleandervalve version", &versionCommand{})
}

func addCommand(parent *flags.Command, name, short, long string, command any) *flags.Command {
	c, err := parent.AddCommand(name, short, long, command)
	if err != nil {
		panic(err)
	}
	return c
}

// printError prints an error, or requested help, and returns the exit code.
func printError(err error) int {
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return 0
		}
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	}
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) {
		fmt.Fprintln(os.Stderr, invalid.Error())
		return exitUsage
	}
	var api *operatorhttp.APIError
	var file *operatorcli.FileError
	var input *operatorcli.InputError
	if errors.As(err, &api) || errors.As(err, &file) || errors.As(err, &input) {
		return operatorcli.Report(os.Stderr, err)
	}
	fmt.Fprintln(os.Stderr, "oleandervalve: "+err.Error())
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		invalid     *oleandervalve.InvalidError
		conflict    *oleandervalve.ConflictError
		exists      *oleandervalve.ExistsError
		unavailable *oleandervalve.UnavailableError
		unknown     *oleandervalve.UnknownOutcomeError
		notRun      *oleandervalve.NotRunError
	)
	switch {
	case errors.As(err, &invalid):
		return exitUsage
	case errors.As(err, &conflict), errors.As(err, &exists):
		return exitConflict
	case errors.As(err, &unavailable), errors.As(err, &unknown), errors.As(err, &notRun):
		return exitUnavailable
	}
	return exitError
}

// settingsFlag is embedded by commands that read a settings file.
type settingsFlag struct {
	File string `long:"settings" value-name:"FILE" required:"true" description:"settings file; docs/settings.md lists its fields"`
}

func (f settingsFlag) load(roles ...settings.Role) (settings.Settings, error) {
	s, err := settings.Load(f.File)
	if err != nil {
		return s, err
	}
	return s, s.Require(f.File, roles...)
}
