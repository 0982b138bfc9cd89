package operator

import (
	"fmt"

	"oleandervalve"
)

// maxReason limits the reason of an evacuation in bytes, as it is repeated in
// logs, explanations and the status.
const maxReason = 200

// EvacuationSpec requests that the data centre named by the object gets no new
// tasks and requests.
type EvacuationSpec struct {
	// Reason is shown to operators in the status, explanations and logs.
	Reason string `json:"reason,omitempty"`
}

func (s *EvacuationSpec) check(p *problems) {
	if len(s.Reason) > maxReason {
		p.add("spec.reason", s.Reason, fmt.Sprintf("use at most %d bytes", maxReason))
	}
}

// Evacuation is the evacuation of a data centre that is in force.
type Evacuation struct {
	DataCentre oleandervalve.DataCentreID `json:"dataCentre"`
	// Revision is the revision of the last change of the object.
	Revision oleandervalve.Revision `json:"revision"`
	Reason   string                 `json:"reason,omitempty"`
}

// Evacuations returns the evacuations in force, by data centre. An object whose
// spec this release can't parse counts too, because starting work in a data centre
// that an operator has evacuated is the worse error.
func (r *Replica) Evacuations() []Evacuation {
	var out []Evacuation
	for _, o := range r.List(KindEvacuation) {
		e := Evacuation{DataCentre: oleandervalve.DataCentreID(o.Name), Revision: oleandervalve.Revision(o.Version)}
		if s, ok := r.spec(KindEvacuation, o.Name).(*EvacuationSpec); ok {
			e.Reason = s.Reason
		}
		out = append(out, e)
	}
	return out
}
