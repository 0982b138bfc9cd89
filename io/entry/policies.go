package entry

import (
	"oleandervalve/core/operator"
)

// JobDefaults returns the defaults for what a job with the given labels does not declare.
func (c *Configuration) JobDefaults(set map[string]string) (out operator.JobDefaultsSpec) {
	c.watcher.WithReplica(func(r *operator.Replica) { out = r.JobDefaults(set) })
	return out
}

// Constraints returns the selectors that policies add for work with the given labels.
func (c *Configuration) Constraints(set map[string]string) (runOn, avoid []string) {
	c.watcher.WithReplica(func(r *operator.Replica) { runOn, avoid = r.Constraints(set) })
	return runOn, avoid
}

// WorkerLabels returns a worker's announced labels merged with the configured ones.
func (c *Configuration) WorkerLabels(announced map[string]string) (out map[string]string) {
	c.watcher.WithReplica(func(r *operator.Replica) { out = r.EffectiveLabels(operator.KindWorkerLabels, announced) })
	return out
}
