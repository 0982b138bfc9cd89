package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "oleandervalve"
	p.ShortDescription = "scheduler for latency-critical services and batch work on shared instances"
	p.LongDescription = "Exit codes: 0 success, 1 error, 2 wrong usage or invalid input, 3 conflict, 4 unavailable or unknown outcome."
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: "unexpected argument `" + rest[0] + "': see --help for the options"}
		}
		return c.Execute(nil)
	}
	addCommands(p)
	_, err := p.ParseArgs(args)
	return printError(err)
}
