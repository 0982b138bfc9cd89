// Command oleandervalve runs entries, agents, stand-ins and operator commands.
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
	addCommands(p)
	_, err := p.ParseArgs(args)
	return report(err)
}
