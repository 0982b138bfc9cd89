package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// A caseFunc plays one case and returns the breaks of its rule. It causes the disruption
// only if trouble is set.
type caseFunc func(r *record, trouble bool) ([]string, error)

func main() { os.Exit(play()) }

func play() int {
	cases := map[string]caseFunc{
		"ends":   manyEnds,
		"record": largeRecord,
		"report": largeReport,
		"stale":  staleLeader,
		"queued": queuedStarts,
		"lost":   lostMachine,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitCannotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := newRecord(ctx, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	breaks, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("result could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannotRun
	}
	const shown = 20
	for _, b := range breaks[:min(len(breaks), shown)] {
		r.add("broken %s", b)
		fmt.Println("broken:", b)
	}
	r.add("result %d breaks", len(breaks))
	fmt.Println(len(breaks), "breaks")
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitHeld
}
