package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"oleandervalve"
)

// indexedToken is the hash of a token and the actor that the token identifies.
type indexedToken struct {
	hash  [sha256.Size]byte
	actor Actor
}

// indexTokens rebuilds the list of tokens that Authenticate compares.
func (r *Replica) indexTokens() {
	r.tokens = r.tokens[:0]
	for _, ref := range r.sortedRefs {
		s, ok := r.objects[ref].spec.(*TokenSpec)
		if !ok {
			continue
		}
		t := indexedToken{actor: Actor{Name: ref.Name, Team: s.Team, Roles: s.Roles}}
		if b, err := hex.DecodeString(s.Hash); err == nil {
			copy(t.hash[:], b)
		}
		r.tokens = append(r.tokens, t)
	}
}

// HashToken returns the hash of a bearer token in the form used in TokenSpec.Hash.
func HashToken(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// Authenticate returns the actor that a bearer token identifies. To resist
// timing attacks, it compares hashes in constant time and always checks all tokens.
func (r *Replica) Authenticate(token string) (Actor, bool) {
	h := sha256.Sum256([]byte(token))
	var a Actor
	found := 0
	for i := range r.tokens {
		if subtle.ConstantTimeCompare(h[:], r.tokens[i].hash[:]) == 1 {
			a, found = r.tokens[i].actor, 1
		}
	}
	return a, found == 1
}

// Service returns the spec of a service.
func (r *Replica) Service(n oleandervalve.ServiceName) (*ServiceSpec, bool) {
	s, ok := r.spec(KindService, string(n)).(*ServiceSpec)
	return s, ok
}

// Team returns the spec of a team.
func (r *Replica) Team(t oleandervalve.TeamID) (*TeamSpec, bool) {
	s, ok := r.spec(KindTeam, string(t)).(*TeamSpec)
	return s, ok
}

// spec returns the spec of an object, or nil if it is absent or can't be parsed.
func (r *Replica) spec(k Kind, name string) Spec {
	if obj := r.objects[Ref{k, name}]; obj != nil {
		return obj.spec
	}
	return nil
}

// ClassRule is the effective policy for a class.
type ClassRule struct {
	ClassPolicy
	// Policy is the name of the policy object that set the rule, empty for the default rule.
	Policy string
}

// defaultQueueLimit is the queue limit of a class for which no policy sets one.
const defaultQueueLimit = 1024

// Classes returns the rules for a service's classes in the order of its spec. If
// several policies list a class, the first policy by name takes precedence.
// Because policies are changed independently of each other, their floors may sum
// to more than 1; they are then scaled down proportionally.
func (r *Replica) Classes(n oleandervalve.ServiceName) []ClassRule {
	obj := r.objects[Ref{KindService, string(n)}]
	if obj == nil {
		return nil
	}
	s, ok := obj.spec.(*ServiceSpec)
	if !ok {
		return nil
	}
	var out []ClassRule
	var floors float64
	for _, c := range s.Classes {
		rule := r.ClassRuleFor(c, obj.object.Labels)
		floors += rule.Floor
		out = append(out, rule)
	}
	if floors > 1 {
		for i := range out {
			out[i].Floor /= floors
		}
	}
	return out
}

// ClassRuleFor returns the rule for a class of a service or job with the given labels.
func (r *Replica) ClassRuleFor(c oleandervalve.ClassName, set map[string]string) ClassRule {
	for _, p := range r.matchingPolicies(set) {
		for _, cp := range p.spec.Classes {
			if cp.Name == c {
				if cp.QueueLimit == 0 {
					cp.QueueLimit = defaultQueueLimit
				}
				return ClassRule{ClassPolicy: cp, Policy: p.name}
			}
		}
	}
	return ClassRule{ClassPolicy: ClassPolicy{Name: c, Weight: 1, QueueLimit: defaultQueueLimit}}
}

type namedPolicy struct {
	name string
	spec *PolicySpec
}

// matchingPolicies returns the policies that select the given labels, by name.
func (r *Replica) matchingPolicies(set map[string]string) []namedPolicy {
	var out []namedPolicy
	for _, ref := range r.sortedRefs {
		obj := r.objects[ref]
		if s, ok := obj.spec.(*PolicySpec); ok && obj.selects(set) {
			out = append(out, namedPolicy{ref.Name, s})
		}
	}
	return out
}

// RetryRatio returns the retry budget for a service or job with the given
// labels, from the first policy by name that sets one.
func (r *Replica) RetryRatio(set map[string]string) float64 {
	for _, p := range r.matchingPolicies(set) {
		if p.spec.RetryRatio > 0 {
			return p.spec.RetryRatio
		}
	}
	return 0
}

// Constraints returns the placement constraints that all policies set for a
// service or job with the given labels: the selectors of the workers to run on
// and the selectors of the work not to be co-located with.
func (r *Replica) Constraints(set map[string]string) (runOn, avoid []string) {
	for _, p := range r.matchingPolicies(set) {
		if p.spec.RunOn != "" {
			runOn = append(runOn, p.spec.RunOn)
		}
		if p.spec.Avoid != "" {
			avoid = append(avoid, p.spec.Avoid)
		}
	}
	return runOn, avoid
}

// JobDefaults returns the defaults for a job with the given labels. For each
// field, the first object by name that sets it takes precedence.
func (r *Replica) JobDefaults(set map[string]string) JobDefaultsSpec {
	var out JobDefaultsSpec
	for _, ref := range r.sortedRefs {
		obj := r.objects[ref]
		s, ok := obj.spec.(*JobDefaultsSpec)
		if !ok || !obj.selects(set) {
			continue
		}
		if out.Class == "" {
			out.Class = s.Class
		}
		if out.Size == (oleandervalve.Resources{}) {
			out.Size = s.Size
		}
		if out.MaxAttempts == 0 {
			out.MaxAttempts = s.MaxAttempts
		}
		if out.RunOn == "" {
			out.RunOn = s.RunOn
		}
	}
	return out
}

// EffectiveLabels returns the announced labels merged with the labels added by
// the objects of a kind, KindWorkerLabels or KindEndpointLabels. If several
// objects add the same key, the first by name takes precedence; an added label
// overrides an announced one.
func (r *Replica) EffectiveLabels(k Kind, announced map[string]string) map[string]string {
	out := maps.Clone(announced)
	if out == nil {
		out = map[string]string{}
	}
	for _, ref := range slices.Backward(r.sortedRefs) {
		obj := r.objects[ref]
		s, ok := obj.spec.(*LabelsSpec)
		if ok && ref.Kind == k && obj.selects(announced) {
			maps.Copy(out, s.Add)
		}
	}
	return out
}

// Explanation explains to an operator how the system treats a subject, such as a
// class or a job, and why.
type Explanation struct {
	Subject string   `json:"subject"`
	Answer  string   `json:"answer"`
	Details []string `json:"details,omitempty"`
	// Objects lists the configuration objects on which the answer is based.
	Objects []string `json:"objects,omitempty"`
}

// ExplainClass explains how the configuration treats a class of a service, and
// whether the configuration is the reason why requests of the class are refused.
func (r *Replica) ExplainClass(n oleandervalve.ServiceName, c oleandervalve.ClassName) Explanation {
	e := Explanation{Subject: fmt.Sprintf("class %s of service %s", c, n)}
	s, ok := r.Service(n)
	if !ok {
		e.Answer = fmt.Sprintf("refused: service %q is not configured; create the object service/%s", string(n), n)
		return e
	}
	e.Objects = append(e.Objects, Ref{KindService, string(n)}.String())
	if !slices.Contains(s.Classes, c) {
		e.Answer = fmt.Sprintf("refused: the service has no class %q; use one of %v or add the class to the service", string(c), s.Classes)
		return e
	}
	for _, rule := range r.Classes(n) {
		if rule.Name != c {
			continue
		}
		if rule.Policy == "" {
			e.Answer = "accepted with weight 1 and no floor: no policy that selects the service names the class"
		} else {
			e.Objects = append(e.Objects, Ref{KindPolicy, rule.Policy}.String())
			e.Answer = fmt.Sprintf("accepted with weight %g and floor %g by policy %s", rule.Weight, rule.Floor, rule.Policy)
		}
		e.Details = append(e.Details,
			fmt.Sprintf("an entry refuses requests of the class while %d of them wait there", rule.QueueLimit),
			fmt.Sprintf("requests without a deadline get %s", s.DefaultDeadline()))
		if rule.Floor == 0 {
			e.Details = append(e.Details, "the class has no floor; in a flood it only gets capacity that classes with a floor leave")
		}
	}
	return e
}
