package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve/io/demo"
)

type latencyCommand struct {
	Callers  []int         `long:"callers" default:"1" default:"64" default:"512" description:"numbers of concurrent callers"`
	Requests int           `long:"requests" default:"40000" description:"requests for each way and number of callers"`
	Service  time.Duration `long:"service-time" default:"0s" description:"service time of the endpoints"`
	JSON     bool          `long:"json" description:"print the rows as JSON"`
}

// Execute measures the latency of direct calls and of calls through an entry and
// an agent.
func (c *latencyCommand) Execute([]string) error {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	rows, err := demo.MeasureLatency(demo.LatencyOptions{
		Callers: c.Callers, Requests: c.Requests, Service: c.Service, Log: logrus.NewEntry(log),
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	return demo.WriteLatency(os.Stdout, rows)
}
