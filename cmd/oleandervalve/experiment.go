package main

import (
	"encoding/json"
	"os"
	"time"

	"oleandervalve"
	"oleandervalve/core/dispatch"
	"oleandervalve/core/experiment"
)

type experimentCommand struct {
	Seed      uint64        `long:"seed" default:"1" description:"first seed of the load"`
	Seeds     int           `long:"seeds" default:"5" description:"how many seeds to play with each order"`
	Length    time.Duration `long:"length" default:"30s" description:"how long jobs come, on a fake clock"`
	Burst     float64       `long:"burst" default:"2.5" description:"factor of the batch rate in the second quarter"`
	Slow      float64       `long:"slow" default:"0.1" description:"share of executors that are slow in the middle half"`
	Failing   float64       `long:"failing" default:"0.1" description:"share of executors that fail everything in the middle half"`
	Cancelled float64       `long:"cancelled" default:"0.05" description:"share of jobs that are cancelled"`
	Executors int           `long:"executors" default:"11" description:"executors of 32 processors"`
	Orders    []string      `long:"order" description:"orders of waiting work to compare; all by default"`
	Flood     string        `long:"flood" description:"play a flood and print what it costs callers: calm, burst4, burstBatch or twoClasses; the load's own flags don't apply"`
	Fleet     string        `long:"fleet" default:"A" description:"fleet of the flood: A or B"`
	JSON      bool          `long:"json" description:"print each result as JSON instead of a table"`
}

// Execute simulates a load against the decision code on a fake clock, with each
// order of waiting work including the baselines, and prints the results.
func (c *experimentCommand) Execute([]string) error {
	if c.Seeds < 1 || c.Executors < 1 || c.Length <= 0 || c.Slow < 0 || c.Failing < 0 || c.Slow+c.Failing > 1 || c.Burst < 0 {
		return &oleandervalve.InvalidError{
			Field: "experiment", Value: "out of range",
			Remedy: "use at least one seed and executor, a length and a burst above zero, and shares from 0 to 1 that add up to at most 1",
		}
	}
	l := experiment.DefaultLoad()
	l.Length, l.BurstFactor, l.SlowShare, l.FailingShare, l.CancelledShare, l.Executors = c.Length, c.Burst, c.Slow, c.Failing, c.Cancelled, c.Executors
	orders := dispatch.Orders()
	if len(c.Orders) > 0 {
		orders = nil
		for _, o := range c.Orders {
			orders = append(orders, dispatch.Order(o))
		}
	}
	var seeds []uint64
	for i := range c.Seeds {
		seeds = append(seeds, c.Seed+uint64(i))
	}
	if c.Flood != "" {
		return c.runFlood(orders, seeds)
	}
	results, err := experiment.Run(l, orders, seeds)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	return experiment.WriteTable(os.Stdout, results)
}

// runFlood plays a flood with each order and prints what it costs callers.
func (c *experimentCommand) runFlood(orders []dispatch.Order, seeds []uint64) error {
	l, err := experiment.FloodLoad(experiment.Flood(c.Flood), experiment.Deployment(c.Fleet))
	if err != nil {
		return err
	}
	costs, err := experiment.RunCost(l, orders, seeds)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(costs)
	}
	return experiment.WriteCostTable(os.Stdout, costs)
}
