package settings

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

const maxFileSize = 1 << 20 // bytes

// Problem describes one error in a settings file.
type Problem struct {
	File string
	// Line is the line number, counted from 1. It is 0 if the problem has no
	// position in the file, such as a missing field.
	Line   int
	Field  string
	Detail string
	Remedy string
}

func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field != "" {
		location += ": " + p.Field
	}
	return location + ": " + p.Detail + ": " + p.Remedy
}

// InvalidError lists all problems of a settings file.
type InvalidError struct {
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. If the file can't be read or is
// invalid, the error is an *InvalidError with all problems.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &InvalidError{[]Problem{{File: path, Detail: "file can't be read", Remedy: "check its name and permissions"}}}
	}
	return Parse(path, b)
}

// Parse validates the content of a settings file and fills in defaults. The file
// name is only used in the reported problems.
func Parse(fileName string, content []byte) (Settings, error) {
	l := &loader{file: fileName, nodes: map[string]ast.Node{}, settings: Settings{lines: map[string]int{}}}
	l.parse(content)
	if len(l.problems) == 0 || len(l.nodes) > 0 {
		l.apply()
	}
	if len(l.problems) > 0 {
		sort.SliceStable(l.problems, func(i, j int) bool { return l.problems[i].Line < l.problems[j].Line })
		return l.settings, &InvalidError{l.problems}
	}
	return l.settings, nil
}

// loader collects the values and the problems of one settings file.
type loader struct {
	file     string
	nodes    map[string]ast.Node
	settings Settings
	problems []Problem
}

func (l *loader) addProblem(line int, name, detail, remedy string) {
	l.problems = append(l.problems, Problem{File: l.file, Line: line, Field: name, Detail: detail, Remedy: remedy})
}

// parse parses the YAML document and collects the nodes of its fields.
func (l *loader) parse(content []byte) {
	if len(content) > maxFileSize {
		l.addProblem(0, "", "file exceeds 1 MiB", "keep only settings in it")
		return
	}
	f, err := parser.ParseBytes(content, 0)
	if err != nil {
		var yamlErr yaml.Error
		line, detail := 0, err.Error()
		if errors.As(err, &yamlErr) {
			detail = yamlErr.GetMessage()
			if t := yamlErr.GetToken(); t != nil && t.Position != nil {
				line = t.Position.Line
			}
		}
		l.addProblem(line, "", "not valid YAML ("+detail+")", "correct the syntax at this line")
		return
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		l.addProblem(0, "", "file holds no settings or more than one document", "write one document with the fields of docs/settings.md")
		return
	}
	l.collect("", f.Docs[0].Body)
}

// mappingValues returns the key-value pairs of a mapping. A pair that stands
// alone counts as a mapping.
func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// collect stores the nodes of known fields and reports unknown fields. The
// prefix is "" or the name of a group with its dot.
func (l *loader) collect(prefix string, n ast.Node) {
	values, ok := mappingValues(n)
	if !ok {
		l.addProblem(lineOf(n), strings.TrimSuffix(prefix, "."), "a group of fields is expected", "write one field a line, indented below the group")
		return
	}
	for _, v := range values {
		fullName := prefix + v.Key.GetToken().Value
		switch {
		case findField(fullName) != nil:
			l.nodes[fullName] = v.Value
			l.settings.lines[fullName] = lineOf(v.Key)
		case prefix == "" && isGroup(fullName):
			l.collect(fullName+".", v.Value)
		default:
			l.addProblem(lineOf(v.Key), fullName, "unknown field", "use one of "+strings.Join(namesBelow(prefix), ", "))
		}
	}
}

func lineOf(n ast.Node) int {
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

func findField(fullName string) *field {
	for i := range fields {
		if fields[i].name == fullName {
			return &fields[i]
		}
	}
	return nil
}

func isGroup(group string) bool {
	for _, f := range fields {
		if strings.HasPrefix(f.name, group+".") {
			return true
		}
	}
	return false
}

// namesBelow lists the names of fields and groups that may follow a prefix.
func namesBelow(prefix string) []string {
	var out []string
	for _, f := range fields {
		rest, ok := strings.CutPrefix(f.name, prefix)
		if !ok {
			continue
		}
		group, _, _ := strings.Cut(rest, ".")
		if len(out) == 0 || out[len(out)-1] != group {
			out = append(out, group)
		}
	}
	return out
}

// apply stores the collected values and the defaults in the settings, and
// reports invalid, missing and contradictory fields.
func (l *loader) apply() {
	s := &l.settings
	role := findField("role")
	if n := l.nodes["role"]; n == nil || !l.set(role, n) {
		if n == nil {
			l.addProblem(0, "role", "missing", "add the role: "+role.kind.limits)
		}
		// Without a valid role, only the value of each field can be checked.
		for i := range fields {
			if n := l.nodes[fields[i].name]; n != nil && fields[i].name != "role" {
				l.set(&fields[i], n)
			}
		}
		return
	}
	valid := map[string]bool{}
	for i := range fields {
		f := &fields[i]
		n := l.nodes[f.name]
		switch {
		case f.name == "role":
		case n != nil && !f.appliesTo(s.Role):
			l.addProblem(s.lines[f.name], f.name, fmt.Sprintf("not a field of role %s", s.Role), "remove it, or correct the role")
		case n != nil:
			valid[f.name] = l.set(f, n)
		case !f.appliesTo(s.Role):
		case f.required:
			l.addProblem(0, f.name, "missing", fmt.Sprintf("add it: %s (%s)", f.description, f.kind.unit))
		default:
			valid[f.name] = true
			if f.defaultText != "" {
				f.kind.set(f.target(s), f.defaultText)
			}
		}
	}
	for _, r := range constraints {
		l.checkConstraint(r, valid)
	}
}

// checkConstraint reports a violated constraint. It skips the constraint if one
// of the two fields is missing or invalid by itself.
func (l *loader) checkConstraint(r constraint, valid map[string]bool) {
	if !(field{roles: r.roles}).appliesTo(l.settings.Role) || !valid[r.field] || !valid[r.other] || !r.violated(&l.settings) {
		return
	}
	line := l.settings.lines[r.field]
	if line == 0 {
		line = l.settings.lines[r.other]
	}
	detail := "contradicts " + r.other
	if f, o := findField(r.field), findField(r.other); f.defaultText != "" && formatValue(o.target(&l.settings)) != "" {
		detail = fmt.Sprintf("%s contradicts %s %s", formatValue(f.target(&l.settings)), r.other, formatValue(o.target(&l.settings)))
	}
	l.addProblem(line, r.field, detail, r.remedy)
}

// set stores the value of one field and reports whether it is valid.
func (l *loader) set(f *field, n ast.Node) bool {
	target := f.target(&l.settings)
	if _, list := target.(*[]string); !list {
		return l.setScalar(f, target, n)
	}
	sequence, ok := n.(*ast.SequenceNode)
	if !ok || len(sequence.Values) == 0 {
		l.addProblem(lineOf(n), f.name, "a list is expected", "write at least one value after a dash, one a line")
		return false
	}
	valid := true
	for _, v := range sequence.Values {
		valid = l.setScalar(f, target, v) && valid
	}
	return valid
}

// setScalar stores a single value, or one element of a list, and reports
// whether it is valid.
func (l *loader) setScalar(f *field, target any, n ast.Node) bool {
	value, ok := scalarText(n)
	if !ok {
		l.addProblem(lineOf(n), f.name, "a single value is expected", "write one "+f.kind.unit)
		return false
	}
	if remedy := f.kind.set(target, value); remedy != "" {
		if f.kind.secret {
			value = "(redacted)" // The value may be the secret itself.
		}
		l.addProblem(lineOf(n), f.name, fmt.Sprintf("invalid value %q", value), remedy)
		return false
	}
	return true
}

// scalarText returns a scalar as it is written in the file. It reports false
// for empty values and for nodes that aren't scalars.
func scalarText(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, n.Value != ""
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		t := n.GetToken()
		return t.Value, t.Type != token.UnknownType
	}
	return "", false
}

// Require returns an *InvalidError unless the role of the settings is one of
// roles.
func (s *Settings) Require(fileName string, roles ...Role) error {
	if (field{roles: roles}).appliesTo(s.Role) {
		return nil
	}
	return &InvalidError{[]Problem{{
		File: fileName, Line: s.lines["role"], Field: "role", Detail: fmt.Sprintf("invalid value %q for this command", s.Role),
		Remedy: "use the command of that role, or a file with role " + roleList(roles),
	}}}
}

// Reserved lists the fields that the file sets but that have no effect yet for
// the role.
func (s *Settings) Reserved() []string {
	var out []string
	for _, f := range fields {
		if s.lines[f.name] > 0 && (field{roles: f.reserved}).appliesTo(s.Role) {
			out = append(out, f.name)
		}
	}
	return out
}
