package operator

import (
	"encoding/hex"
	"fmt"
	"time"

	"oleandervalve"
)

// Role is a set of permissions granted to the holder of a token.
type Role string

const (
	// RoleCaller may send requests and submit jobs.
	RoleCaller Role = "caller"
	// RoleViewer may read the configuration, the status and explanations.
	RoleViewer Role = "viewer"
	// RoleOperator may also change the configuration, drain instances and cancel jobs.
	RoleOperator Role = "operator"
)

const (
	maxDeadline   = 24 * time.Hour
	maxClasses    = 64
	maxCallers    = 512
	maxWeight     = 1000
	maxQueue      = 100_000
	maxAttempts   = 1000
	tokenHashSize = 32
)

// Spec is the typed specification of an object.
type Spec interface {
	check(p *problems)
}

// newSpec returns an empty spec of a kind, or nil if the kind is unknown.
func newSpec(k Kind) Spec {
	switch k {
	case KindService:
		return &ServiceSpec{}
	case KindJobDefaults:
		return &JobDefaultsSpec{}
	case KindPolicy:
		return &PolicySpec{}
	case KindTeam:
		return &TeamSpec{}
	case KindWorkerLabels, KindEndpointLabels:
		return &LabelsSpec{}
	case KindToken:
		return &TokenSpec{}
	case KindEvacuation:
		return &EvacuationSpec{}
	}
	return nil
}

// ServiceSpec configures the service named by the object.
type ServiceSpec struct {
	// DefaultDeadlineMS is the deadline in milliseconds of requests that specify none.
	DefaultDeadlineMS int64                     `json:"defaultDeadlineMs"`
	Classes           []oleandervalve.ClassName `json:"classes"`
	// DefaultClass is the class of requests that specify none; by default the first class.
	DefaultClass oleandervalve.ClassName `json:"defaultClass,omitempty"`
}

// DefaultDeadline returns the deadline of requests that specify none.
func (s *ServiceSpec) DefaultDeadline() time.Duration {
	return time.Duration(s.DefaultDeadlineMS) * time.Millisecond
}

func (s *ServiceSpec) check(p *problems) {
	p.checkRange("spec.defaultDeadlineMs", float64(s.DefaultDeadlineMS), 1, float64(maxDeadline/time.Millisecond))
	checkCount(p, "spec.classes", len(s.Classes), 1, maxClasses)
	seen := map[oleandervalve.ClassName]bool{}
	for i, c := range s.Classes {
		f := fmt.Sprintf("spec.classes[%d]", i)
		p.checkName(f, string(c))
		if seen[c] {
			p.add(f, c, "name each class once")
		}
		seen[c] = true
	}
	if s.DefaultClass != "" && !seen[s.DefaultClass] {
		p.add("spec.defaultClass", s.DefaultClass, "name one of the service's classes")
	}
}

// ClassPolicy sets the share of capacity and the queue limit of a class.
type ClassPolicy struct {
	Name   oleandervalve.ClassName `json:"name"`
	Weight float64                 `json:"weight"`
	// Floor is the guaranteed share of the capacity, from 0 to 1.
	Floor float64 `json:"floor,omitempty"`
	// QueueLimit is the maximum number of queued requests of the class at each entry.
	QueueLimit int `json:"queueLimit,omitempty"`
}

// PolicySpec sets weights, floors, queue limits, retry budgets and placement
// constraints for the services and jobs that it selects.
type PolicySpec struct {
	// Selector selects services and jobs by their labels.
	Selector string        `json:"selector"`
	Classes  []ClassPolicy `json:"classes,omitempty"`
	// RetryRatio is the number of retries allowed per successful request.
	RetryRatio float64 `json:"retryRatio,omitempty"`
	// RunOn selects the workers on which the selected work may run.
	RunOn string `json:"runOn,omitempty"`
	// Avoid selects the work with which the selected work must not be co-located.
	Avoid string `json:"avoid,omitempty"`
}

func (s *PolicySpec) check(p *problems) {
	p.checkSelector("spec.selector", s.Selector)
	p.checkSelector("spec.runOn", s.RunOn)
	p.checkSelector("spec.avoid", s.Avoid)
	p.checkRange("spec.retryRatio", s.RetryRatio, 0, 1)
	checkCount(p, "spec.classes", len(s.Classes), 0, maxClasses)
	seen := map[oleandervalve.ClassName]bool{}
	for i, c := range s.Classes {
		f := fmt.Sprintf("spec.classes[%d]", i)
		p.checkName(f+".name", string(c.Name))
		if seen[c.Name] {
			p.add(f+".name", c.Name, "name each class once")
		}
		seen[c.Name] = true
		p.checkRange(f+".weight", c.Weight, 0.001, maxWeight)
		p.checkRange(f+".floor", c.Floor, 0, 1)
		p.checkRange(f+".queueLimit", float64(c.QueueLimit), 0, maxQueue)
	}
	if sum := s.FloorSum(); FloorsExceedWhole(sum) {
		p.add("spec.classes", fmt.Sprintf("floors sum to %.3g", sum), "let the floors sum to at most 1")
	}
}

// FloorSum returns the sum of the floors of the policy's classes.
func (s *PolicySpec) FloorSum() float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Floor
	}
	return sum
}

// FloorsExceedWhole reports whether a sum of floors is more than the whole capacity. It
// tolerates rounding errors in sums such as 0.1 + 0.2.
func FloorsExceedWhole(sum float64) bool { return sum > 1+1e-9 }

// TeamSpec configures the team named by the object.
type TeamSpec struct {
	Callers []oleandervalve.CallerID `json:"callers,omitempty"`
	Quota   oleandervalve.Resources  `json:"quota"`
	Weight  float64                  `json:"weight"`
}

func (s *TeamSpec) check(p *problems) {
	checkCount(p, "spec.callers", len(s.Callers), 0, maxCallers)
	for i, c := range s.Callers {
		p.checkName(fmt.Sprintf("spec.callers[%d]", i), string(c))
	}
	p.checkResources("spec.quota", s.Quota)
	p.checkRange("spec.weight", s.Weight, 0.001, maxWeight)
}

// JobDefaultsSpec sets defaults for the fields that the selected jobs do not set.
type JobDefaultsSpec struct {
	// Selector selects jobs by their labels.
	Selector    string                  `json:"selector"`
	Class       oleandervalve.ClassName `json:"class,omitempty"`
	Size        oleandervalve.Resources `json:"size"`
	MaxAttempts int                     `json:"maxAttempts,omitempty"`
	// RunOn selects the workers on which the jobs may run.
	RunOn string `json:"runOn,omitempty"`
}

func (s *JobDefaultsSpec) check(p *problems) {
	p.checkSelector("spec.selector", s.Selector)
	p.checkSelector("spec.runOn", s.RunOn)
	if s.Class != "" {
		p.checkName("spec.class", string(s.Class))
	}
	p.checkResources("spec.size", s.Size)
	p.checkRange("spec.maxAttempts", float64(s.MaxAttempts), 0, maxAttempts)
}

// LabelsSpec adds labels to the workers or endpoints that it selects.
type LabelsSpec struct {
	// Selector is matched against announced labels only, not against labels added
	// by other objects, so that the result does not depend on the order of objects.
	Selector string            `json:"selector"`
	Add      map[string]string `json:"add"`
}

func (s *LabelsSpec) check(p *problems) {
	p.checkSelector("spec.selector", s.Selector)
	checkCount(p, "spec.add", len(s.Add), 1, MaxLabels)
	p.checkLabels("spec.add", s.Add)
}

// TokenSpec grants the holder of a bearer token roles in a team.
type TokenSpec struct {
	// Hash is the SHA-256 hash of the token in lower case hexadecimal digits.
	Hash  string               `json:"hash"`
	Team  oleandervalve.TeamID `json:"team"`
	Roles []Role               `json:"roles"`
}

func (s *TokenSpec) check(p *problems) {
	b, err := hex.DecodeString(s.Hash)
	if err != nil || len(b) != tokenHashSize || hex.EncodeToString(b) != s.Hash {
		p.add("spec.hash", s.Hash, "give the SHA-256 hash of the token as 64 lower case hexadecimal digits, never the token")
	}
	p.checkName("spec.team", string(s.Team))
	checkCount(p, "spec.roles", len(s.Roles), 1, 3)
	for i, r := range s.Roles {
		if r != RoleCaller && r != RoleViewer && r != RoleOperator {
			p.add(fmt.Sprintf("spec.roles[%d]", i), r, "use caller, viewer or operator")
		}
	}
}

func checkCount(p *problems, field string, n, minimum, maximum int) {
	if n < minimum || n > maximum {
		p.add(field, fmt.Sprintf("%d entries", n), fmt.Sprintf("give %d to %d entries", minimum, maximum))
	}
}
