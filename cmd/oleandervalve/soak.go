package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve/platform/soak"
)

type soakCommand struct {
	Seed     uint64        `long:"seed" default:"1" description:"first seed of the faults and the load"`
	Seeds    int           `long:"seeds" default:"1" description:"how many seeds to run, one after the other"`
	Duration time.Duration `long:"duration" default:"20s" description:"how long faults are injected for each seed"`
	Entries  int           `long:"entries" default:"3" description:"entry processes"`
	Agents   int           `long:"agents" default:"6" description:"agent processes"`
	Large    bool          `long:"large-jobs" description:"add jobs of the largest accepted size"`
	Accepted bool          `long:"accepted-only" description:"cancel no job before its submission is answered"`
	Standing int           `long:"standing" description:"long-running jobs that run all the time; faults pause at times, and tasks that don't run then are found"`
	Share    float64       `long:"least-share" description:"limit the entries to processor shares from this one on, and to thin links"`
	Lease    time.Duration `long:"max-lease" default:"6s" description:"the longest lease that executors grant"`
	Wide     bool          `long:"wide" description:"add faults of many processes or executors at once"`
	Evacuate bool          `long:"evacuations" description:"enable evacuations of data centres and add them to the faults"`
	Crowds   bool          `long:"crowds" description:"add crowds of clients that don't complete their requests to the faults"`
	Late     bool          `long:"late-starts" description:"add start orders that arrive seconds late to the faults, beside executors that start again"`
	Kinds    []string      `long:"kind" description:"inject only faults of this kind (may be repeated)"`
	Binary   string        `long:"binary" value-name:"PATH" description:"binary of the processes, if it is not this one"`
	Logs     string        `long:"logs" value-name:"DIRECTORY" default:"soak-logs" description:"where logs of seeds with problems are kept"`
}

// Execute runs a soak test for each seed and prints its result as a line of JSON.
// It removes the logs of seeds without problems.
func (c *soakCommand) Execute([]string) error {
	binary := c.Binary
	if binary == "" {
		var err error
		if binary, err = os.Executable(); err != nil {
			return errors.Wrap(err, "locate the executable")
		}
	}
	failed := 0
	for i := range c.Seeds {
		seed := c.Seed + uint64(i)
		directory := filepath.Join(c.Logs, strconv.FormatUint(seed, 10))
		if err := os.MkdirAll(directory, 0o700); err != nil {
			return errors.Wrap(err, "create the log directory")
		}
		r, err := soak.Run(context.Background(), soak.Options{
			Binary: binary, Directory: directory, Seed: seed, Duration: c.Duration, Entries: c.Entries, Agents: c.Agents, LargeJobs: c.Large, AcceptedOnly: c.Accepted, Standing: c.Standing, LeastShare: c.Share, MaxLease: c.Lease, Wide: c.Wide, Evacuations: c.Evacuate, Crowds: c.Crowds, LateStarts: c.Late, Kinds: c.Kinds,
		})
		if err != nil {
			return err
		}
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return err
		}
		if len(r.Problems) > 0 {
			failed++
			continue
		}
		if err := os.RemoveAll(directory); err != nil {
			return errors.Wrap(err, "remove the logs of a passed seed")
		}
	}
	if failed > 0 {
		return errors.Newf("%d of %d seeds have problems: see the logs in %s", failed, c.Seeds, c.Logs)
	}
	return nil
}
