package operatorcli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"oleandervalve"
	"oleandervalve/core/check"
)

// Formats of a configuration.
const (
	formatAuto    = "auto"
	formatObjects = "objects"
	formatHosted  = "hosted"
)

// CheckCommand checks a configuration before it is sent. It changes nothing.
type CheckCommand struct {
	Common
	File      string                   `long:"file" short:"f" value-name:"FILE" description:"configuration to check; - reads the standard input"`
	Format    string                   `long:"format" default:"auto" choice:"auto" choice:"objects" choice:"hosted" description:"objects in YAML as for apply, or the hosted row in JSON; auto looks at the file"`
	Against   string                   `long:"against" value-name:"FILE" description:"show the difference from a second file, which counts as the version in force"`
	InForce   bool                     `long:"in-force" description:"show the difference from the version in force: objects from --server, the hosted row from --table"`
	Complete  bool                     `long:"complete" description:"the file holds all objects: those in force that it lacks count as removed"`
	Table     string                   `long:"table" value-name:"HOST:PORT" description:"table service from which the hosted row in force is read"`
	Callers   string                   `long:"callers" value-name:"HOST:PORT" description:"callers' address of an entry, which is asked for the waiting jobs of changed queues"`
	Executors map[string]int           `long:"executors" key-value-delimiter:"=" value-name:"SERVICE=NUMBER" description:"number of executors of a service, if it is known"`
	Estimates map[string]time.Duration `long:"estimate" key-value-delimiter:"=" value-name:"QUEUE=DURATION" description:"estimated work of a queue's jobs"`
}

// HostedQuery is what a check of the hosted row compares with. The fields correspond
// to those of CheckCommand.
type HostedQuery struct {
	// Against is the text of a second row, or nil.
	Against   []byte
	InForce   bool
	Table     string
	Callers   string
	Executors map[string]int
	Estimates map[string]time.Duration
}

// HostedFormat checks the configuration row of the hosting platform.
type HostedFormat interface {
	// Check returns *oleandervalve.InvalidError if the text can't be read, and
	// *InputError if something else that was asked for can't be.
	Check(ctx context.Context, text []byte, q HostedQuery) (check.Report, error)
}

// InputError reports an input of a check that can't be read. It hides the type of its
// cause, because each has the same exit code.
type InputError struct {
	Input string
	Cause error
}

func (e *InputError) Error() string { return e.Input + " can't be read: " + e.Cause.Error() }

// FindingsError reports that a check has findings.
type FindingsError struct{ Count int }

func (e *FindingsError) Error() string { return fmt.Sprintf("the check has %d finding(s)", e.Count) }

// Bind sets what the command depends on.
func (x *CheckCommand) Bind(env *Environment) { x.env = env }

// Execute checks the file and prints the report. It returns *FindingsError if there are
// findings.
func (x *CheckCommand) Execute([]string) error {
	if err := x.checkFlags(); err != nil {
		return err
	}
	text, err := x.readInput(x.File)
	if err != nil {
		return checked(err)
	}
	var against []byte
	if x.Against != "" {
		if against, err = x.readInput(x.Against); err != nil {
			return checked(err)
		}
	}
	var r check.Report
	if x.Format == formatHosted || x.Format == formatAuto && isHosted(text) {
		r, err = x.env.Hosted.Check(x.context(), text, HostedQuery{
			Against: against, InForce: x.InForce, Table: x.Table, Callers: x.Callers, Executors: x.Executors, Estimates: x.Estimates,
		})
	} else if err = x.checkObjectFlags(); err == nil {
		r, err = x.checkObjects(text, against)
	}
	if err != nil {
		return checked(err)
	}
	if err := x.printReport(r); err != nil {
		return err
	}
	if n := len(r.Findings); n > 0 {
		return &FindingsError{Count: n}
	}
	return nil
}

// checkFlags returns an error for flags that contradict each other, or of which one would
// be ignored: a comparison that was asked for must not be left out silently.
func (x *CheckCommand) checkFlags() error {
	switch {
	case x.Against != "" && x.InForce:
		return &oleandervalve.InvalidError{Field: "--against", Value: x.Against, Remedy: "give either --against FILE or --in-force"}
	case x.Against == "-" && x.File == "-":
		return &oleandervalve.InvalidError{Field: "--against", Value: x.Against, Remedy: "read only one of the files from the standard input"}
	case x.Table != "" && !x.InForce:
		return &oleandervalve.InvalidError{Field: "--table", Value: x.Table, Remedy: "give --in-force as well"}
	case x.Callers != "" && !x.InForce && x.Against == "":
		return &oleandervalve.InvalidError{Field: "--callers", Value: x.Callers, Remedy: "give --in-force or --against FILE as well"}
	}
	return nil
}

// checkObjectFlags returns an error for flags that have no effect on objects.
func (x *CheckCommand) checkObjectFlags() error {
	if x.Table != "" || x.Callers != "" || len(x.Executors) > 0 || len(x.Estimates) > 0 {
		return &oleandervalve.InvalidError{
			Field: "--table, --callers, --executors, --estimate", Value: "objects", Remedy: "use them for the hosted row only",
		}
	}
	return nil
}

// checked words a file error for a check.
func checked(err error) error {
	var f *FileError
	if errors.As(err, &f) {
		f.Checked = true
	}
	return err
}

// isHosted reports whether a text is a hosted row: it begins as a JSON object that has
// no kind. A row that is cut off counts too, so that its syntax is reported.
func isHosted(text []byte) bool {
	for _, b := range text {
		switch b {
		case ' ', '\t', '\r', '\n':
			continue
		case '{':
			var o struct {
				Kind *json.RawMessage `json:"kind"`
			}
			return json.Unmarshal(text, &o) != nil || o.Kind == nil
		}
		return false
	}
	return false
}

func (x *CheckCommand) checkObjects(text, against []byte) (check.Report, error) {
	documents, err := parseDocuments(x.File, text)
	if err != nil {
		return check.Report{}, err
	}
	in := check.ObjectInput{Compared: x.InForce || against != nil, Versioned: x.InForce, Complete: x.Complete || against != nil}
	switch {
	case x.InForce:
		client, err := x.newClient()
		if err != nil {
			return check.Report{}, err
		}
		l, err := client.List(x.context(), "")
		if err != nil {
			return check.Report{}, &InputError{Input: "version in force", Cause: err}
		}
		in.InForce = l.Objects
	case against != nil:
		before, err := parseDocuments(x.Against, against)
		if err != nil {
			return check.Report{}, err
		}
		for _, d := range before {
			if d.Spec != nil {
				in.InForce = append(in.InForce, d.Object)
			}
		}
	}
	var syntax []check.Finding
	for i, d := range documents {
		in.Documents = append(in.Documents, d.Document)
		syntax = append(syntax, documentFindings(i, d)...)
	}
	r := check.Objects(in)
	r.Findings = append(syntax, r.Findings...)
	for i, f := range r.Findings {
		if f.Line == 0 && f.Index != check.None {
			r.Findings[i].Line = lineOf(documents[f.Index].body, f.Field)
		}
	}
	r.Sort()
	return r, nil
}

// documentFields are the fields of a document.
var documentFields = []string{"kind", "labels", "name", "spec", "version"}

// documentFindings returns the findings about a document's own fields.
func documentFindings(i int, d fileDocument) []check.Finding {
	if d.err == nil {
		return nil
	}
	object := d.Object.Ref().String()
	line, _ := errorPosition(d.err)
	var unknown *yaml.UnknownFieldError
	if !errors.As(d.err, &unknown) {
		return []check.Finding{{
			Kind: check.InvalidValue, Index: i, Line: line, Object: object,
			Text: problemMessage(d.err), Remedy: "correct the document",
		}}
	}
	var out []check.Finding
	if m, ok := d.body.(*ast.MappingNode); ok {
		for _, v := range m.Values {
			name := v.Key.GetToken().Value
			known := false
			for _, k := range documentFields {
				known = known || k == name
			}
			if !known {
				f := check.UnknownFieldFinding(i, object, name, name, documentFields)
				f.Line = v.Key.GetToken().Position.Line
				out = append(out, f)
			}
		}
	}
	return out
}

// lineOf returns the line of a field, of the nearest field that contains it and is in the
// file, or of the document.
func lineOf(body ast.Node, field string) int {
	for field != "" {
		if p := position(body, field); p != nil {
			return p.Line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	// The token of a mapping is the colon of its first field.
	if t := body.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

// printReport writes the findings and, if there is one, the difference.
func (c *Common) printReport(r check.Report) error {
	if c.Output == "json" {
		if r.Findings == nil {
			r.Findings = []check.Finding{}
		}
		return c.print(r, nil)
	}
	rows := [][]string{{"no findings"}}
	if len(r.Findings) > 0 {
		rows = [][]string{{"LINE", "OBJECT", "FIELD", "FINDING", "REMEDY"}}
	}
	for _, f := range r.Findings {
		line := "-"
		if f.Line > 0 {
			line = fmt.Sprint(f.Line)
		}
		rows = append(rows, cells(line, f.Object, orDash(f.Field), f.Text, f.Remedy))
	}
	if err := c.print(nil, rows); err != nil || r.Changes == nil {
		return err
	}
	if _, err := fmt.Fprintln(c.env.Out); err != nil {
		return err
	}
	if len(r.Changes) == 0 {
		return c.print(nil, [][]string{{"no difference"}})
	}
	rows = [][]string{{"CHANGE", "OBJECT", "OPEN JOBS", "FIELD", "BEFORE", "AFTER"}}
	for _, x := range r.Changes {
		jobs := "unknown"
		if x.OpenJobs != nil {
			jobs = fmt.Sprint(*x.OpenJobs)
		} else if x.Action == check.Added {
			jobs = "0"
		}
		rows = append(rows, cells(string(x.Action), x.Object, jobs, "", "", ""))
		for _, d := range x.Fields {
			rows = append(rows, cells("", "", "", d.Field, orNone(d.Before), orNone(d.After)))
		}
	}
	return c.print(nil, rows)
}

// cells returns the cells of a row. Control characters of the file, which would break the
// table or change the terminal, are replaced.
func cells(text ...string) []string {
	for i, s := range text {
		text[i] = strings.Map(func(r rune) rune {
			if unicode.IsControl(r) {
				return unicode.ReplacementChar
			}
			return r
		}, s)
	}
	return text
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
