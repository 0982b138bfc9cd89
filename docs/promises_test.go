package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	declared = regexp.MustCompile(`(?m)^func (Test[A-Z]\w*)\(`)
	named    = regexp.MustCompile(`\bTest[A-Z]\w*`)
)

// testNames returns the names of all tests of the module.
func testNames(t *testing.T) map[string]bool {
	out := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		for _, m := range declared.FindAllSubmatch(b, -1) {
			out[string(m[1])] = true
		}
		return err
	})
	is.New(t).NoErr(err)
	return out
}

// missing returns the tests that a page names and that do not exist.
func missing(page []byte, tests map[string]bool) []string {
	var out []string
	for _, n := range named.FindAll(page, -1) {
		if !tests[string(n)] {
			out = append(out, string(n))
		}
	}
	return out
}

// Guards against pages that name a test which was renamed or removed, and
// against an invariant whose row names no test.
func TestPagesNameTestsThatExist(t *testing.T) {
	is := is.New(t)
	tests := testNames(t)
	is.Equal(missing([]byte("`TestThatWasRemoved` `TestPagesNameTestsThatExist`"), tests), []string{"TestThatWasRemoved"})
	pages, err := filepath.Glob("*.md")
	is.NoErr(err)
	decisions, err := filepath.Glob("decisions/*.md")
	is.NoErr(err)
	for _, p := range append(pages, decisions...) {
		b, err := os.ReadFile(p)
		is.NoErr(err)
		if m := missing(b, tests); len(m) > 0 {
			t.Errorf("%s names tests that do not exist: %s", p, strings.Join(m, ", "))
		}
	}
	b, err := os.ReadFile("promises.md")
	is.NoErr(err)
	rows := regexp.MustCompile(`(?m)^\| [1-9]\. .*$`).FindAllString(string(b), -1)
	is.Equal(len(rows), 9) // one row for each invariant
	for _, r := range rows {
		is.True(named.MatchString(r)) // names a test
	}
}
