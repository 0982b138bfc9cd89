package operatorcli

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"oleandervalve/core/operator"
	"oleandervalve/io/operatorhttp"
)

// EvacuateCommand requests the evacuation of a data centre or withdraws it.
type EvacuateCommand struct {
	Common
	Reason   string `long:"reason" default:"operator" description:"reason shown in the status, logs and explanations"`
	Withdraw bool   `long:"withdraw" description:"end the evacuation; workers and endpoints are usable again at once"`
	DryRun   bool   `long:"dry-run" description:"check and show the change without making it"`
	ChangeID string `long:"change-id" value-name:"ID" description:"id of an earlier attempt whose outcome is unknown"`
	Args     struct {
		DataCentre string `positional-arg-name:"DATACENTRE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute creates or deletes the evacuation object. Repeating the command has no
// further effect.
func (x *EvacuateCommand) Execute([]string) error {
	spec, err := json.Marshal(operator.EvacuationSpec{Reason: x.Reason})
	if err != nil {
		return err
	}
	o, _, err := operator.Validate(operator.Object{Kind: operator.KindEvacuation, Name: x.Args.DataCentre, Spec: spec})
	var invalid *operator.ValidationError
	if errors.As(err, &invalid) {
		return &invalid.Problems[0]
	}
	client, err := x.newClient()
	if err != nil {
		return err
	}
	id := operator.ChangeID(x.ChangeID)
	if id == "" {
		id = newChangeID()
	}
	current, err := client.Get(x.context(), o.Ref())
	var api *operatorhttp.APIError
	missing := errors.As(err, &api) && api.Status == http.StatusNotFound
	switch {
	case err != nil && !missing:
		return err
	case x.Withdraw && missing:
		r := operatorhttp.ChangeResult{ChangeID: id, Unchanged: true, DryRun: x.DryRun}
		return x.printEvacuation(r, "not requested")
	case x.Withdraw:
		r, err := client.Delete(x.context(), o.Ref(), id, current.Version, x.DryRun)
		if err != nil {
			return err
		}
		return x.printEvacuation(r, "withdrawn")
	}
	o.Labels = current.Labels
	r, err := client.Put(x.context(), o, id, current.Version, x.DryRun)
	if err != nil {
		return err
	}
	return x.printEvacuation(r, "requested")
}

func (x *EvacuateCommand) printEvacuation(r operatorhttp.ChangeResult, done string) error {
	if r.DryRun || r.Unchanged && done != "not requested" {
		done = resultText(r)
	}
	return x.print(r, [][]string{{"DATA CENTRE", "EVACUATION", "REVISION"}, {x.Args.DataCentre, done, fmt.Sprint(r.Revision)}})
}
