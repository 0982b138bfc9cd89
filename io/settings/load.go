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

const maxFile = 1 << 20

// Problem is one thing that is wrong with a settings file.
type Problem struct {
	File string
	// Line counts from 1; it is 0 if the problem has no place in the file.
	Line   int
	Field  string
	Detail string
	Remedy string
}

func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field != "" {
		where += ": " + p.Field
	}
	return where + ": " + p.Detail + ": " + p.Remedy
}

// InvalidError reports every problem of a settings file.
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

// Load reads a settings file; *InvalidError lists all its problems.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &InvalidError{[]Problem{{File: path, Detail: "file can't be read", Remedy: "check its name and permissions"}}}
	}
	return Parse(path, b)
}

// Parse reads settings; the file name appears in the problems.
func Parse(fileName string, content []byte) (Settings, error) {
	l := &loader{file: fileName, nodes: map[string]ast.Node{}, settings: Settings{lines: map[string]int{}}}
	l.read(content)
	if len(l.problems) == 0 || len(l.nodes) > 0 {
		l.apply()
	}
	if len(l.problems) > 0 {
		sort.SliceStable(l.problems, func(i, j int) bool { return l.problems[i].Line < l.problems[j].Line })
		return l.settings, &InvalidError{l.problems}
	}
	return l.settings, nil
}

type loader struct {
	file     string
	nodes    map[string]ast.Node
	settings Settings
	problems []Problem
}

func (l *loader) problem(line int, name, detail, remedy string) {
	l.problems = append(l.problems, Problem{File: l.file, Line: line, Field: name, Detail: detail, Remedy: remedy})
}

func (l *loader) read(content []byte) {
	if len(content) > maxFile {
		l.problem(0, "", "file exceeds 1 MiB", "keep only settings in it")
		return
	}
	f, err := parser.ParseBytes(content, 0)
	if err != nil {
		var y yaml.Error
		line, detail := 0, err.Error()
		if errors.As(err, &y) {
			detail = y.GetMessage()
			if t := y.GetToken(); t != nil && t.Position != nil {
				line = t.Position.Line
			}
		}
		l.problem(line, "", "not valid YAML ("+detail+")", "correct the syntax at this line")
		return
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		l.problem(0, "", "file holds no settings or more than one document", "write one document with the fields of docs/settings.md")
		return
	}
	l.walk("", f.Docs[0].Body)
}

func entriesOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// walk collects the nodes of known fields and reports unknown ones.
func (l *loader) walk(prefix string, n ast.Node) {
	values, ok := entriesOf(n)
	if !ok {
		l.problem(line(n), strings.TrimSuffix(prefix, "."), "a group of fields is expected", "write one field a line, indented below the group")
		return
	}
	for _, v := range values {
		full := prefix + v.Key.GetToken().Value
		switch {
		case find(full) != nil:
			l.nodes[full] = v.Value
			l.settings.lines[full] = line(v.Key)
		case prefix == "" && isGroup(full):
			l.walk(full+".", v.Value)
		default:
			l.problem(line(v.Key), full, "unknown field", "use one of "+strings.Join(siblings(prefix), ", "))
		}
	}
}

func line(n ast.Node) int {
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

func find(full string) *field {
	for i := range fields {
		if fields[i].name == full {
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

// siblings lists the names that may follow a prefix.
func siblings(prefix string) []string {
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

func (l *loader) apply() {
	s := &l.settings
	role := find("role")
	if n := l.nodes["role"]; n == nil || !l.set(role, n) {
		if n == nil {
			l.problem(0, "role", "missing", "add the role: "+role.kind.limits)
		}
		// Without a role only the values themselves can be checked.
		for i := range fields {
			if n := l.nodes[fields[i].name]; n != nil && fields[i].name != "role" {
				l.set(&fields[i], n)
			}
		}
		return
	}
	good := map[string]bool{}
	for i := range fields {
		f := &fields[i]
		n := l.nodes[f.name]
		switch {
		case f.name == "role":
		case n != nil && !f.has(s.Role):
			l.problem(s.lines[f.name], f.name, fmt.Sprintf("not a field of role %s", s.Role), "remove it, or correct the role")
		case n != nil:
			good[f.name] = l.set(f, n)
		case !f.has(s.Role):
		case f.required:
			l.problem(0, f.name, "missing", fmt.Sprintf("add it: %s (%s)", f.text, f.kind.unit))
		default:
			good[f.name] = true
			if f.standard != "" {
				f.kind.set(f.target(s), f.standard)
			}
		}
	}
	for _, r := range rules {
		l.check(r, good)
	}
}

// check applies a rule unless a value it compares is wrong by itself.
func (l *loader) check(r rule, good map[string]bool) {
	if !(field{roles: r.roles}).has(l.settings.Role) || !good[r.field] || !good[r.other] || !r.broken(&l.settings) {
		return
	}
	at := l.settings.lines[r.field]
	if at == 0 {
		at = l.settings.lines[r.other]
	}
	detail := "contradicts " + r.other
	if f, o := find(r.field), find(r.other); f.standard != "" && text(o.target(&l.settings)) != "" {
		detail = fmt.Sprintf("%s contradicts %s %s", text(f.target(&l.settings)), r.other, text(o.target(&l.settings)))
	}
	l.problem(at, r.field, detail, r.remedy)
}

// set stores one value and reports whether it is right.
func (l *loader) set(f *field, n ast.Node) bool {
	target := f.target(&l.settings)
	if _, list := target.(*[]string); !list {
		return l.scalar(f, target, n)
	}
	q, ok := n.(*ast.SequenceNode)
	if !ok || len(q.Values) == 0 {
		l.problem(line(n), f.name, "a list is expected", "write at least one value after a dash, one a line")
		return false
	}
	right := true
	for _, v := range q.Values {
		right = l.scalar(f, target, v) && right
	}
	return right
}

func (l *loader) scalar(f *field, target any, n ast.Node) bool {
	value, ok := scalarText(n)
	if !ok {
		l.problem(line(n), f.name, "a single value is expected", "write one "+f.kind.unit)
		return false
	}
	if remedy := f.kind.set(target, value); remedy != "" {
		if f.kind.secret {
			value = "(redacted)" // The value may be the secret itself.
		}
		l.problem(line(n), f.name, fmt.Sprintf("invalid value %q", value), remedy)
		return false
	}
	return true
}

// scalarText returns a plain value as it is written in the file.
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

// Require returns an *InvalidError if the settings are for another role.
func (s *Settings) Require(fileName string, roles ...Role) error {
	if (field{roles: roles}).has(s.Role) {
		return nil
	}
	return &InvalidError{[]Problem{{
		File: fileName, Line: s.lines["role"], Field: "role", Detail: fmt.Sprintf("invalid value %q for this command", s.Role),
		Remedy: "use the command of that role, or a file with role " + roleList(roles),
	}}}
}

// Reserved lists the fields that the file sets but that have no effect yet.
func (s *Settings) Reserved() []string {
	var out []string
	for _, f := range fields {
		if s.lines[f.name] > 0 && (field{roles: f.reserved}).has(s.Role) {
			out = append(out, f.name)
		}
	}
	return out
}
