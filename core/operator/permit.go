package operator

import (
	"fmt"
	"slices"

	"oleandervalve"
)

// TeamLabel is the label that gives an object to a team.
const TeamLabel = "team"

// ForbiddenError reports an action that the actor's roles do not allow.
type ForbiddenError struct {
	Actor  string
	Action string
	Remedy string
}

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("%s may not %s: %s", e.Actor, e.Action, e.Remedy)
}

// Has reports whether the actor has a role; operators are also viewers.
func (a Actor) Has(r Role) bool {
	return slices.Contains(a.Roles, r) || r == RoleViewer && slices.Contains(a.Roles, RoleOperator)
}

// Permit checks whether an actor may change an object from one state to
// another. Operators of the admin team may change everything; operators of
// other teams only services and job defaults that carry their team's label.
func Permit(a Actor, admin oleandervalve.TeamID, ref Ref, before, after *Object) error {
	action := "change " + ref.String()
	if !a.Has(RoleOperator) {
		return &ForbiddenError{a.Name, action, "use a token with the role operator"}
	}
	if a.Team == admin {
		return nil
	}
	if ref.Kind != KindService && ref.Kind != KindJobDefaults {
		return &ForbiddenError{a.Name, action, fmt.Sprintf("ask an operator of team %q; other teams change services and job defaults only", string(admin))}
	}
	for _, o := range []*Object{before, after} {
		if o != nil && o.Labels[TeamLabel] != string(a.Team) {
			return &ForbiddenError{a.Name, action, fmt.Sprintf("label the object %s=%s, or ask an operator of team %q", TeamLabel, a.Team, string(admin))}
		}
	}
	return nil
}
