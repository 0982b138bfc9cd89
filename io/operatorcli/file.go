package operatorcli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"oleandervalve"
	"oleandervalve/core/operator"
)

// maxInputBytes limits the size of an input file.
const maxInputBytes = 4 << 20

// FileError reports an input file that can't be applied, with the position of each problem.
type FileError struct {
	File     string
	Problems []string
}

func (e *FileError) Error() string {
	return fmt.Sprintf("%s was not applied: %s", e.File, strings.Join(e.Problems, "; "))
}

// document is one YAML document of an input file.
type document struct {
	Kind    operator.Kind          `yaml:"kind"`
	Name    string                 `yaml:"name"`
	Labels  map[string]string      `yaml:"labels,omitempty"`
	Version *oleandervalve.Version `yaml:"version,omitempty"`
	Spec    map[string]any         `yaml:"spec"`
}

// readObjects reads the documents of an input file and validates all of them
// before any is sent. Errors are of type *FileError.
func (c *Common) readObjects(path string) ([]operator.Object, []*oleandervalve.Version, error) {
	b, err := c.readFile(path)
	if err != nil {
		return nil, nil, &FileError{path, []string{"the file can't be read: check its name and permissions"}}
	}
	if len(b) > maxInputBytes {
		return nil, nil, &FileError{path, []string{"the file exceeds 4 MiB: split it"}}
	}
	syntaxTree, err := parser.ParseBytes(b, 0)
	if err != nil {
		return nil, nil, &FileError{path, []string{problemText(err)}}
	}
	fileErr := &FileError{File: path}
	var objects []operator.Object
	var versions []*oleandervalve.Version
	d := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict())
	for i := 0; ; i++ {
		var doc document
		err := d.Decode(&doc)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			fileErr.Problems = append(fileErr.Problems, problemText(err))
			break
		}
		if doc.Kind == "" && doc.Name == "" && doc.Spec == nil {
			continue
		}
		spec, err := json.Marshal(doc.Spec)
		if err != nil {
			fileErr.Problems = append(fileErr.Problems, fmt.Sprintf("document %d: spec holds a value that JSON does not have", i+1))
			continue
		}
		o, _, err := operator.Validate(operator.Object{Kind: doc.Kind, Name: doc.Name, Labels: doc.Labels, Spec: spec})
		var v *operator.ValidationError
		if errors.As(err, &v) {
			for _, p := range v.Problems {
				fileErr.Problems = append(fileErr.Problems, linePrefix(syntaxTree, i, p.Field)+p.Error())
			}
			continue
		}
		objects, versions = append(objects, o), append(versions, doc.Version)
	}
	if len(fileErr.Problems) == 0 && len(objects) == 0 {
		fileErr.Problems = []string{"the file has no document: give kind, name and spec"}
	}
	if len(fileErr.Problems) > 0 {
		return nil, nil, fileErr
	}
	return objects, versions, nil
}

// problemText returns the position and description of a YAML error without the
// library's excerpt of the file, which may contain a secret.
func problemText(err error) string {
	var y yaml.Error
	if !errors.As(err, &y) {
		return "the YAML is malformed"
	}
	t := y.GetToken()
	if t == nil || t.Position == nil {
		return "the YAML is malformed"
	}
	message := "the YAML is malformed here"
	var unknownField *yaml.UnknownFieldError
	var typeErr *yaml.TypeError
	var duplicateKey *yaml.DuplicateKeyError
	switch {
	case errors.As(err, &unknownField):
		message = "unknown field; use kind, name, labels, version and spec"
	case errors.As(err, &typeErr):
		message = "the value has another type than its field"
	case errors.As(err, &duplicateKey):
		message = "the field is given twice"
	}
	return fmt.Sprintf("line %d, column %d: %s", t.Position.Line, t.Position.Column, message)
}

// linePrefix returns the position of a field as the prefix of a message, or the
// empty string if the field is not in the file.
func linePrefix(f *ast.File, document int, field string) string {
	if document >= len(f.Docs) || f.Docs[document].Body == nil {
		return ""
	}
	p, err := yaml.PathString("$." + field)
	if err != nil {
		return ""
	}
	n, err := p.FilterNode(f.Docs[document].Body)
	if err != nil || n == nil || n.GetToken() == nil {
		return ""
	}
	pos := n.GetToken().Position
	return fmt.Sprintf("line %d, column %d: ", pos.Line, pos.Column)
}
