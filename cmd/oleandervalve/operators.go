package main

import (
	"context"
	"os"

	"github.com/jessevdk/go-flags"

	"oleandervalve"
	"oleandervalve/io/operatorcli"
)

// addOperatorCommands registers the commands that talk to an entry's administration API.
func addOperatorCommands(p *flags.Parser) {
	env := &operatorcli.Environment{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Clock: oleandervalve.SystemClock(), Context: context.Background(),
	}
	if err := operatorcli.Register(p, env); err != nil {
		panic(err) // only a mistake in the command definitions can cause this
	}
}
