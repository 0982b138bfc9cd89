package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets the test binary run as the command itself, so that scripts and
// tests start real processes.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"oleandervalve": func() { os.Exit(run(os.Args[1:])) },
	})
}

// Guards against commands without help or example, wrong exit codes, and
// reports that stop at the first problem; each script says which.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", RequireExplicitExec: true})
}
