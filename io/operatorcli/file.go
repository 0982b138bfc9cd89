package operatorcli

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"oleandervalve"
	"oleandervalve/core/check"
	"oleandervalve/core/operator"
)

// maxInputBytes limits the size of an input file.
const maxInputBytes = 4 << 20

// FileError reports an input file that can't be applied or checked, with the position of each problem.
type FileError struct {
	File     string
	Problems []string
	// Checked means that the file was to be checked, not applied.
	Checked bool
}

func (e *FileError) Error() string {
	what := "was not applied"
	if e.Checked {
		what = "can't be checked"
	}
	return fmt.Sprintf("%s %s: %s", e.File, what, strings.Join(e.Problems, "; "))
}

// document is one YAML document of an input file.
type document struct {
	Kind    operator.Kind          `yaml:"kind"`
	Name    string                 `yaml:"name"`
	Labels  map[string]string      `yaml:"labels,omitempty"`
	Version *oleandervalve.Version `yaml:"version,omitempty"`
	Spec    map[string]any         `yaml:"spec"`
}

// fileDocument is a document of an input file with its position.
type fileDocument struct {
	check.Document
	body ast.Node
	// err is the reason why the document can't be decoded, or nil.
	err error
}

// readObjects reads the documents of an input file and validates all of them
// before any is sent. Errors are of type *FileError.
func (c *Common) readObjects(path string) ([]operator.Object, []*oleandervalve.Version, error) {
	b, err := c.readInput(path)
	if err != nil {
		return nil, nil, err
	}
	documents, err := parseDocuments(path, b)
	if err != nil {
		return nil, nil, err
	}
	fileErr := &FileError{File: path}
	var objects []operator.Object
	var versions []*oleandervalve.Version
	for _, d := range documents {
		if d.err != nil {
			fileErr.Problems = append(fileErr.Problems, problemText(d.err))
			continue
		}
		for _, p := range d.Problems {
			fileErr.Problems = append(fileErr.Problems, linePrefix(d.body, p.Field)+p.Error())
		}
		objects, versions = append(objects, d.Object), append(versions, d.Version)
	}
	if len(fileErr.Problems) > 0 {
		return nil, nil, fileErr
	}
	return objects, versions, nil
}

// readInput reads an input file. Errors are of type *FileError.
func (c *Common) readInput(path string) ([]byte, error) {
	b, err := c.readFile(path)
	if err != nil {
		return nil, &FileError{File: path, Problems: []string{"the file can't be read: check its name and permissions"}}
	}
	if len(b) > maxInputBytes {
		return nil, &FileError{File: path, Problems: []string{"the file exceeds 4 MiB: split it"}}
	}
	return b, nil
}

// parseDocuments decodes and validates the documents of a file. The error is a
// *FileError if the text is not YAML or has no document.
func parseDocuments(path string, b []byte) ([]fileDocument, error) {
	syntaxTree, err := parser.ParseBytes(b, 0)
	if err != nil {
		return nil, &FileError{File: path, Problems: []string{problemText(err)}}
	}
	var out []fileDocument
	// One decoder reads all documents, because an alias may refer to an anchor in an
	// earlier one.
	strict := yaml.NewDecoder(strings.NewReader(""), yaml.Strict())
	lenient := yaml.NewDecoder(strings.NewReader(""))
	read := 0 // number of documents that the lenient decoder has read
	for i, d := range syntaxTree.Docs {
		if d.Body == nil {
			continue
		}
		x := fileDocument{body: d.Body}
		var doc document
		x.err = strict.DecodeFromNode(d.Body, &doc)
		var unknown *yaml.UnknownFieldError
		if errors.As(x.err, &unknown) {
			// The known fields are decoded as well, for a check that reports all findings.
			var lenientErr error
			for ; read <= i; read++ {
				doc = document{}
				if body := syntaxTree.Docs[read].Body; body != nil {
					lenientErr = lenient.DecodeFromNode(body, &doc)
				}
			}
			if lenientErr != nil {
				x.err, unknown = lenientErr, nil
			}
		} else if x.err == nil && doc.Kind == "" && doc.Name == "" && doc.Spec == nil {
			continue
		}
		spec, err := json.Marshal(doc.Spec)
		if err != nil {
			x.err = errSpecNotJSON
		}
		o := operator.Object{Kind: doc.Kind, Name: doc.Name, Labels: doc.Labels, Spec: spec}
		if x.err == nil || unknown != nil {
			x.Document = check.NewDocument(o, doc.Version)
		} else {
			x.Document = check.Document{Object: o}
		}
		out = append(out, x)
	}
	if len(out) == 0 {
		return nil, &FileError{File: path, Problems: []string{"the file has no document: give kind, name and spec"}}
	}
	return out, nil
}

// errSpecNotJSON is the error of a spec with a value such as .nan.
var errSpecNotJSON = errors.New("spec holds a value that JSON does not have")

// problemText returns the position and description of a YAML error without the
// library's excerpt of the file, which may contain a secret.
func problemText(err error) string {
	if line, column := errorPosition(err); line > 0 {
		return fmt.Sprintf("line %d, column %d: %s", line, column, problemMessage(err))
	}
	return problemMessage(err)
}

// problemMessage returns the description of a YAML error.
func problemMessage(err error) string {
	var unknownField *yaml.UnknownFieldError
	var typeErr *yaml.TypeError
	var duplicateKey *yaml.DuplicateKeyError
	line, _ := errorPosition(err)
	switch {
	case errors.Is(err, errSpecNotJSON):
		return err.Error()
	case line == 0:
		return "the YAML is malformed"
	case errors.As(err, &unknownField):
		return "unknown field; use kind, name, labels, version and spec"
	case errors.As(err, &typeErr):
		return "the value has another type than its field"
	case errors.As(err, &duplicateKey):
		return "the field is given twice"
	}
	return "the YAML is malformed here"
}

// errorPosition returns the line and column of a YAML error, or zeros if it has none.
func errorPosition(err error) (line, column int) {
	var y yaml.Error
	if !errors.As(err, &y) || y.GetToken() == nil || y.GetToken().Position == nil {
		return 0, 0
	}
	return y.GetToken().Position.Line, y.GetToken().Position.Column
}

// linePrefix returns the position of a field as the prefix of a message, or the
// empty string if the field is not in the file.
func linePrefix(body ast.Node, field string) string {
	pos := position(body, field)
	if pos == nil {
		return ""
	}
	return fmt.Sprintf("line %d, column %d: ", pos.Line, pos.Column)
}

// position returns the position of a field of a document, or nil. It does not use the
// library's paths, which panic for names such as "a[0".
func position(n ast.Node, field string) *token.Position {
	for field != "" {
		var rest string
		if n, rest = child(n, field); n == nil || rest == field {
			return nil
		}
		field = strings.TrimPrefix(rest, ".")
	}
	if n.GetToken() == nil {
		return nil
	}
	return n.GetToken().Position
}

// child returns the value below a node at the first name or index of a path, and the
// rest of the path. Names may contain dots, so the names of the node are compared.
func child(n ast.Node, path string) (ast.Node, string) {
	var values []*ast.MappingValueNode
	switch x := n.(type) {
	case *ast.AnchorNode:
		return child(x.Value, path)
	case *ast.SequenceNode:
		index, rest, _ := strings.Cut(strings.TrimPrefix(path, "["), "]")
		if i, err := strconv.Atoi(index); err == nil && path[0] == '[' && i >= 0 && i < len(x.Values) {
			return x.Values[i], rest
		}
		return nil, path
	case *ast.MappingNode:
		values = x.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{x}
	}
	for _, v := range values {
		rest, ok := strings.CutPrefix(path, v.Key.GetToken().Value)
		if ok && len(rest) < len(path) && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return v.Value, rest
		}
	}
	return nil, path
}
