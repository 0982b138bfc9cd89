package operatorcli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"oleandervalve"
	"oleandervalve/core/operator"
	"oleandervalve/io/operatorhttp"
)

// print writes a value as JSON, or rows of cells as a table.
func (c *Common) print(v any, rows [][]string) error {
	if c.Output == "json" {
		e := json.NewEncoder(c.env.Out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.env.Out, 0, 4, 2, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// ApplyCommand creates or changes the objects in a file.
type ApplyCommand struct {
	Common
	File     string `long:"file" short:"f" required:"yes" value-name:"FILE" description:"YAML file with one or more documents; - reads the standard input"`
	DryRun   bool   `long:"dry-run" description:"check and show the changes without making them"`
	ChangeID string `long:"change-id" value-name:"ID" description:"id of an earlier attempt whose outcome is unknown"`
}

// Execute applies the documents in order and stops at the first that fails.
func (x *ApplyCommand) Execute([]string) error {
	return x.apply(x.File, x.DryRun, operator.ChangeID(x.ChangeID))
}

// DiffCommand shows what apply would change.
type DiffCommand struct {
	Common
	File string `long:"file" short:"f" required:"yes" value-name:"FILE" description:"YAML file with one or more documents; - reads the standard input"`
}

// Execute prints the fields that would change.
func (x *DiffCommand) Execute([]string) error { return x.apply(x.File, true, "") }

func (c *Common) apply(file string, dryRun bool, id operator.ChangeID) error {
	objects, versions, err := c.readObjects(file)
	if err != nil {
		return err
	}
	client, err := c.newClient()
	if err != nil {
		return err
	}
	if id == "" {
		id = newChangeID()
	}
	var results []operatorhttp.ChangeResult
	rows := [][]string{{"OBJECT", "RESULT", "VERSION", "REVISION"}}
	for i, o := range objects {
		r, err := c.applyOne(client, o, versions[i], documentChangeID(id, i, len(objects)), dryRun)
		if err != nil {
			if len(results) > 0 {
				_ = c.print(results, rows)
			}
			return wrapApplyError(err, o.Ref(), id, len(results))
		}
		results = append(results, r)
		rows = append(rows, []string{o.Ref().String(), resultText(r), fmt.Sprint(r.Version), fmt.Sprint(r.Revision)})
		for _, d := range r.Diff {
			rows = append(rows, []string{"  " + d.Field + ": " + orNone(d.Before) + " -> " + orNone(d.After)})
		}
	}
	return c.print(results, rows)
}

// wrapApplyError adds to an error how to apply the whole file again. If the outcome
// is unknown, that takes the change id of the file; the client only knows the id
// of the document that failed.
func wrapApplyError(err error, r operator.Ref, id operator.ChangeID, applied int) error {
	var unknown *oleandervalve.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return &oleandervalve.UnknownOutcomeError{
			Operation: "change of " + r.String(), Cause: err,
			Remedy: fmt.Sprintf("run the command again with --change-id %s; each document is applied at most once", id),
		}
	}
	if applied > 0 {
		return errors.Wrapf(err, "%s failed after %d document(s) had been applied; correct it and apply the file again", r, applied)
	}
	return err
}

// documentChangeID returns the change id of document i of a file with n documents.
func documentChangeID(id operator.ChangeID, i, n int) operator.ChangeID {
	if n == 1 {
		return id
	}
	return operator.ChangeID(fmt.Sprintf("%s.%d", id, i))
}

func (c *Common) applyOne(client *operatorhttp.Client, o operator.Object, v *oleandervalve.Version, id operator.ChangeID, dryRun bool) (operatorhttp.ChangeResult, error) {
	ctx := c.context()
	if v == nil {
		current, err := client.Get(ctx, o.Ref())
		var api *operatorhttp.APIError
		if err != nil && (!errors.As(err, &api) || api.Status != http.StatusNotFound) {
			return operatorhttp.ChangeResult{}, err
		}
		v = &current.Version
	}
	return client.Put(ctx, o, id, *v, dryRun)
}

func resultText(r operatorhttp.ChangeResult) string {
	switch {
	case r.Unchanged:
		return "unchanged"
	case r.DryRun:
		return "would change"
	case r.Repeated:
		return "accepted earlier"
	}
	return "accepted"
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// GetCommand shows objects.
type GetCommand struct {
	Common
	Args struct {
		Kind string `positional-arg-name:"KIND" description:"kind, or kind/name"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute prints one object or a list.
func (x *GetCommand) Execute([]string) error {
	client, err := x.newClient()
	if err != nil {
		return err
	}
	kind, name := x.Args.Kind, x.Args.Name
	if k, n, ok := strings.Cut(kind, "/"); ok && name == "" {
		kind, name = k, n
	}
	if name != "" {
		o, err := client.Get(x.context(), operator.Ref{Kind: operator.Kind(kind), Name: name})
		if err != nil {
			return err
		}
		return x.print(o, objectRows([]operator.Object{o}))
	}
	l, err := client.List(x.context(), operator.Kind(kind))
	if err != nil {
		return err
	}
	return x.print(l, objectRows(l.Objects))
}

func objectRows(objects []operator.Object) [][]string {
	rows := [][]string{{"OBJECT", "VERSION", "LABELS", "SPEC"}}
	for _, o := range objects {
		l, _ := json.Marshal(o.Labels)
		rows = append(rows, []string{o.Ref().String(), fmt.Sprint(o.Version), string(l), string(o.Spec)})
	}
	return rows
}

// LabelCommand sets or removes labels of an object.
type LabelCommand struct {
	Common
	DryRun   bool   `long:"dry-run" description:"check and show the change without making it"`
	ChangeID string `long:"change-id" value-name:"ID" description:"id of an earlier attempt whose outcome is unknown"`
	Args     struct {
		Object string   `positional-arg-name:"KIND/NAME" required:"yes"`
		Labels []string `positional-arg-name:"KEY=VALUE|KEY-" required:"1"`
	} `positional-args:"yes"`
}

// Execute sets and removes the given labels; other labels stay unchanged.
func (x *LabelCommand) Execute([]string) error {
	kind, name, ok := strings.Cut(x.Args.Object, "/")
	if !ok {
		return &oleandervalve.InvalidError{Field: "object", Value: x.Args.Object, Remedy: "give kind and name, for example service/formaro"}
	}
	labels := map[string]*string{}
	for _, l := range x.Args.Labels {
		k, v, set := strings.Cut(l, "=")
		switch {
		case set:
			labels[k] = &v
		case strings.HasSuffix(l, "-"):
			labels[strings.TrimSuffix(l, "-")] = nil
		default:
			return &oleandervalve.InvalidError{Field: "label", Value: l, Remedy: "use key=value to set a label and key- to remove it"}
		}
	}
	client, err := x.newClient()
	if err != nil {
		return err
	}
	id := operator.ChangeID(x.ChangeID)
	if id == "" {
		id = newChangeID()
	}
	r, err := client.Label(x.context(), operator.Ref{Kind: operator.Kind(kind), Name: name}, labels, id, x.DryRun)
	if err != nil {
		return err
	}
	return x.print(r, [][]string{{x.Args.Object, resultText(r), fmt.Sprint(r.Version), fmt.Sprint(r.Revision)}})
}

// AuditCommand shows the audit trail.
type AuditCommand struct {
	Common
	From   string `long:"from" value-name:"TIME" description:"earliest time, such as 2026-01-31T08:00:00Z"`
	To     string `long:"to" value-name:"TIME" description:"time before which records are shown"`
	Actor  string `long:"actor" value-name:"NAME" description:"who made the attempt"`
	Kind   string `long:"kind" value-name:"KIND" description:"kind of the object"`
	Name   string `long:"name" value-name:"NAME" description:"name of the object"`
	Result string `long:"result" choice:"accepted" choice:"refused" description:"only accepted changes or only refused attempts"`
	Limit  int    `long:"limit" default:"1000" description:"largest number of records"`
	Export bool   `long:"export" description:"write one JSON object per line"`
}

// Execute prints the matching records.
func (x *AuditCommand) Execute([]string) error {
	f := operator.AuditFilter{Actor: x.Actor, Kind: operator.Kind(x.Kind), Name: x.Name, Result: operator.Result(x.Result)}
	for _, p := range []struct {
		flag, value string
		dest        *time.Time
	}{{"--from", x.From, &f.From}, {"--to", x.To, &f.To}} {
		if p.value == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339, p.value)
		if err != nil {
			return &oleandervalve.InvalidError{Field: p.flag, Value: p.value, Remedy: "use a time such as 2026-01-31T08:00:00Z"}
		}
		*p.dest = t
	}
	client, err := x.newClient()
	if err != nil {
		return err
	}
	lines := json.NewEncoder(x.env.Out)
	records := []operator.Record{}
	rows := [][]string{{"TIME", "ACTOR", "VERB", "OBJECT", "RESULT", "REVISION", "DETAIL"}}
	err = client.Audit(x.context(), f, x.Limit, func(r operator.Record) error {
		if x.Export {
			return lines.Encode(r)
		}
		records = append(records, r)
		rows = append(rows, []string{
			r.At.UTC().Format(time.RFC3339), r.Actor.Name, string(r.Verb), r.Ref().String(),
			string(r.Result), fmt.Sprint(r.Revision), r.Detail,
		})
		return nil
	})
	if err != nil || x.Export {
		return err
	}
	return x.print(records, rows)
}

// StatusCommand shows the rollout status of the configuration.
type StatusCommand struct {
	Common
	Watch bool `long:"watch" short:"w" description:"repeat every two seconds until interrupted"`
}

// Execute prints the status.
func (x *StatusCommand) Execute([]string) error {
	client, err := x.newClient()
	if err != nil {
		return err
	}
	ctx := x.context()
	for {
		s, err := client.Status(ctx)
		if err != nil && (!x.Watch || ctx.Err() != nil) {
			return err
		}
		if err == nil {
			err = x.print(s, statusRows(s))
		} else {
			_, err = fmt.Fprintln(x.env.Err, "error:", err) // Keep watching during an outage.
		}
		if err != nil || !x.Watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-x.env.Clock.After(statusRefreshInterval):
		}
	}
}

func statusRows(s operatorhttp.EntryStatus) [][]string {
	rows := [][]string{
		{"ENTRY", "REVISION", "READY", "AGENTS", "IN FORCE", "LOWEST", "READ AGO"},
		{
			string(s.Entry), fmt.Sprint(s.Revision), fmt.Sprint(s.Ready), fmt.Sprint(s.Rollout.Agents),
			fmt.Sprint(s.Rollout.Applied), fmt.Sprint(s.Rollout.Lowest), (time.Duration(s.AgeMS) * time.Millisecond).Round(time.Second).String(),
		},
	}
	for _, b := range s.Rollout.Lagging {
		rows = append(rows, []string{"  " + string(b.Agent), fmt.Sprint(b.Revision), "", "", "behind", (time.Duration(b.LagMS) * time.Millisecond).String()})
	}
	if len(s.Evacuations) == 0 {
		return rows
	}
	rows = append(rows, []string{"EVACUATED", "REVISION", "WORKERS", "TASKS", "ENDPOINTS", "IN FLIGHT", "REASON"})
	for _, x := range s.Evacuations {
		rows = append(rows, []string{
			string(x.DataCentre), fmt.Sprint(x.Revision), fmt.Sprint(x.Workers), fmt.Sprint(x.Tasks),
			fmt.Sprint(x.Endpoints), fmt.Sprint(x.InFlight), x.Reason,
		})
	}
	return rows
}

// ExplainCommand explains how the system treats a class, job, worker or task and why.
type ExplainCommand struct {
	Common
	Args struct {
		Subject string `positional-arg-name:"class|job|worker|eviction" required:"yes"`
		Name    string `positional-arg-name:"NAME" required:"yes"`
		Detail  string `positional-arg-name:"CLASS" description:"the class, for the subject class"`
	} `positional-args:"yes"`
}

// Execute prints the explanation.
func (x *ExplainCommand) Execute([]string) error {
	a := x.Args
	switch a.Subject {
	case "class":
		if a.Detail == "" {
			return &oleandervalve.InvalidError{Field: "CLASS", Remedy: "give service and class, for example explain class formaro export"}
		}
	case "job", "worker", "eviction":
		a.Detail = ""
	default:
		return &oleandervalve.InvalidError{Field: "subject", Value: a.Subject, Remedy: "use class, job, worker or eviction"}
	}
	client, err := x.newClient()
	if err != nil {
		return err
	}
	e, err := client.Explain(x.context(), operatorhttp.ExplainRequest{Subject: a.Subject, Name: a.Name, Detail: a.Detail})
	if err != nil {
		return err
	}
	rows := [][]string{{e.Subject + ": " + e.Answer}}
	for _, d := range e.Details {
		rows = append(rows, []string{"  " + d})
	}
	for _, o := range e.Objects {
		rows = append(rows, []string{"  see " + o})
	}
	return x.print(e, rows)
}

// DrainCommand starts draining an instance.
type DrainCommand struct {
	Common
	Reason string        `long:"reason" default:"operator" description:"reason shown in logs and answers"`
	Within time.Duration `long:"within" default:"10m" description:"time until the instance has to be empty"`
	Args   struct {
		Instance string `positional-arg-name:"INSTANCE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute starts the drain; repeating the command shows its progress.
func (x *DrainCommand) Execute([]string) error {
	client, err := x.newClient()
	if err != nil {
		return err
	}
	p, err := client.Drain(x.context(), x.Args.Instance, x.Reason, x.Within)
	if err != nil {
		return err
	}
	return x.print(p, [][]string{{x.Args.Instance, p.State, p.Detail}})
}

// CancelCommand cancels a job.
type CancelCommand struct {
	Common
	Args struct {
		Job string `positional-arg-name:"JOB" required:"yes"`
	} `positional-args:"yes"`
}

// Execute cancels the job; repeating the command shows its progress.
func (x *CancelCommand) Execute([]string) error {
	client, err := x.newClient()
	if err != nil {
		return err
	}
	p, err := client.Cancel(x.context(), oleandervalve.JobID(x.Args.Job))
	if err != nil {
		return err
	}
	return x.print(p, [][]string{{x.Args.Job, p.State, p.Detail}})
}
