package check

import (
	"encoding/json"

	"oleandervalve/core/operator"
	"oleandervalve/core/work"
)

// checkAttempts reports routes whose tasks are repeated without limit: core/dispatch
// counts failures only against a limit over 0.
func (x *routeCheck) checkAttempts(i int, r work.Route) {
	if r.Queue.MaxAttempts == 0 {
		x.add(NoAttempts, i, FieldMaxAttempts, "give the number of attempts, 1 or more",
			"without a number of attempts over 0, a task that always fails is repeated without limit")
	}
}

// checkAttempts reports defaults of jobs that state a number of attempts of 0, which
// means the same as no default.
func (x *objectCheck) checkAttempts(i int, d Document) {
	if d.Object.Kind != operator.KindJobDefaults {
		return
	}
	var given struct {
		MaxAttempts *float64 `json:"maxAttempts"`
	}
	if json.Unmarshal(d.Given, &given) == nil && given.MaxAttempts != nil && *given.MaxAttempts == 0 {
		x.add(NoAttempts, i, "spec.maxAttempts", "give 1 or more, or leave the field out", "0 attempts count as no default")
	}
}
