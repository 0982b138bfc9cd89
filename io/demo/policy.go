package demo

import "oleandervalve/core/scheduler"

// Policy names the policy in force.
type Policy string

const (
	// PolicyFair is the default policy.
	PolicyFair Policy = "fair"
	// PolicyBaseline places tasks by first fit without the interference model,
	// and serves all callers in the order of arrival.
	PolicyBaseline Policy = "baseline"
)

func (p Policy) scheduler() scheduler.Config {
	if p == PolicyBaseline {
		return scheduler.BaselineConfig()
	}
	return scheduler.DefaultConfig()
}
