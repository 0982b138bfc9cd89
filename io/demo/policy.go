package demo

import (
	"oleandervalve/core/caller"
	"oleandervalve/core/credit"
	"oleandervalve/core/scheduler"
)

// Policy selects how tasks are placed and calls are served.
type Policy string

const (
	// PolicyFair is the default policy.
	PolicyFair Policy = "fair"
	// PolicyBaseline places tasks by first fit without the interference model,
	// and serves all calls in order of arrival.
	PolicyBaseline Policy = "baseline"
)

func (p Policy) scheduler() scheduler.Config {
	if p == PolicyBaseline {
		return scheduler.BaselineConfig()
	}
	return scheduler.DefaultConfig()
}

// classes returns the class policies at the entries; the baseline has one queue.
func (p Policy) classes(d deployment) []caller.ClassPolicy {
	if p == PolicyBaseline {
		return []caller.ClassPolicy{{Class: "default", Weight: 1}}
	}
	return d.policies()
}

// shares returns the class shares at the agents.
func (p Policy) shares(d deployment) []credit.ClassShare {
	if p == PolicyBaseline {
		return []credit.ClassShare{{Class: "default", Weight: 1}}
	}
	return d.shares()
}
