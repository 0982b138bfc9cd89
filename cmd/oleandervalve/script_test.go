package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets the test binary run as the oleandervalve command, so that scripts
// and tests can start real processes.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"oleandervalve": func() { os.Exit(run(os.Args[1:])) },
	})
}

// Guards against commands without help or example, wrong exit codes, and
// settings checks that stop at the first problem. Each script states its purpose.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", RequireExplicitExec: true})
}
