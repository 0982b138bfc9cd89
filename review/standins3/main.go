package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases maps the names of cases to their functions, which report whether the rule was broken.
var cases = map[string]func(*deployment) (bool, error){
	"late-start":    lateStart,
	"other-writer":  otherWriter,
	"machine-power": machinePower,
	"pinned":        pinned,
	"stale-start":   staleStart,
}

func main() {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(args []string) (int, error) {
	if len(args) > 0 && args[0] == "executor" {
		return notRun, executorMain(args[1:])
	}
	if len(args) != 3 || args[0] != "case" || cases[args[1]] == nil {
		return notRun, errors.New("usage: standins3 case NAME FOLDER, in the root of the repository")
	}
	d, err := newDeployment(filepath.Join(args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		return notRun, err
	}
	defer d.close()
	isBroken, err := cases[args[1]](d)
	switch {
	case err != nil:
		d.record("the case could not run: %v", err)
		return notRun, err
	case isBroken:
		d.record("BROKEN")
		return broken, nil
	}
	d.record("HELD")
	return held, nil
}
