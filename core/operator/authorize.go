package operator

import (
	"fmt"
	"slices"

	"oleandervalve"
)

// TeamLabel is the label that names the team that owns an object.
const TeamLabel = "team"

// ForbiddenError reports an action that the actor is not authorised to perform.
type ForbiddenError struct {
	Actor  string
	Action string
	Remedy string
}

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("%s may not %s: %s", e.Actor, e.Action, e.Remedy)
}

// HasRole reports whether the actor has a role. RoleOperator implies RoleViewer.
func (a Actor) HasRole(r Role) bool {
	return slices.Contains(a.Roles, r) || r == RoleViewer && slices.Contains(a.Roles, RoleOperator)
}

// Authorize returns a *ForbiddenError unless the actor may change the object from
// before to after. Operators of the admin team may change every object;
// operators of other teams may change only services and job defaults that have
// their team's label before and after the change.
func Authorize(a Actor, adminTeam oleandervalve.TeamID, ref Ref, before, after *Object) error {
	action := "change " + ref.String()
	if !a.HasRole(RoleOperator) {
		return &ForbiddenError{a.Name, action, "use a token with the role operator"}
	}
	if a.Team == adminTeam {
		return nil
	}
	if ref.Kind != KindService && ref.Kind != KindJobDefaults {
		return &ForbiddenError{a.Name, action, fmt.Sprintf("ask an operator of team %q; other teams change services and job defaults only", string(adminTeam))}
	}
	for _, o := range []*Object{before, after} {
		if o != nil && o.Labels[TeamLabel] != string(a.Team) {
			return &ForbiddenError{a.Name, action, fmt.Sprintf("label the object %s=%s, or ask an operator of team %q", TeamLabel, a.Team, string(adminTeam))}
		}
	}
	return nil
}
