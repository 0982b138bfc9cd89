package settings

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

// Guards against a committed reference page that differs from the generated one.
func TestReferencePageIsCurrent(t *testing.T) {
	var b bytes.Buffer
	is.New(t).NoErr(WriteReference(&b))
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "settings", b.Bytes())
}

// Guards against invalid example files, and against printed settings that parse
// to other values than the effective ones.
func TestExamplesAreValidAndPrintedSettingsParse(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) >= 11) // two entries, three agents and endpoints, three services
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			is := is.New(t)
			s, err := Load(f)
			is.NoErr(err)
			var first, second bytes.Buffer
			is.NoErr(s.Write(&first))
			reparsed, err := Parse("printed", first.Bytes())
			is.NoErr(err)
			is.NoErr(reparsed.Write(&second))
			is.Equal(strings.ReplaceAll(first.String(), " # default", ""), second.String())
		})
	}
}

// Guards against a field whose default value is outside its own range.
func TestDefaultsAreWithinTheirRanges(t *testing.T) {
	for _, f := range fields {
		if f.defaultText == "" {
			continue
		}
		var s Settings
		is.New(t).Equal(f.kind.set(f.target(&s), f.defaultText), "")         // accepted
		is.New(t).Equal(formatValue(f.target(&s)), f.defaultText)            // printed as written
		is.New(t).True(!f.required && f.description != "" && f.roles != nil) // described
	}
}

const validAgent = `role: agent
id: agent-1
location:
  region: r
  dataCentre: d
listen:
  announcements: 127.0.0.1:1
  metrics: 127.0.0.1:2
entries: [http://127.0.0.1:3]
`

const validEntry = `role: entry
id: entry-1
location:
  region: r
  dataCentre: d
listen:
  callers: 127.0.0.1:1
  peers: 127.0.0.1:2
  metrics: 127.0.0.1:3
`

// Guards against invalid settings that are accepted, and against error messages
// without the line, the field or the remedy.
func TestProblems(t *testing.T) {
	cases := []struct{ name, extra, want string }{
		{"duration without unit", "drain:\n  timeout: 5", `f:11: drain.timeout: invalid value "5": write a duration`},
		{"duration out of range", "drain:\n  timeout: 2h", `f:11: drain.timeout: invalid value "2h": use a duration from 0s to 1h`},
		{"size with decimal unit", "worker:\n  memory: 60GB", `f:11: worker.memory: invalid value "60GB": write a whole number with the unit`},
		{"size too large", "worker:\n  memory: 99999999999GiB", `f:11: worker.memory: invalid value "99999999999GiB": use a size`},
		{"integer with unit", "worker:\n  cpu: 4 cores", `f:11: worker.cpu: invalid value "4 cores": use a whole number of millicores`},
		{"unknown group", "colour: blue", "f:10: colour: unknown field: use one of role"},
		{"unknown field", "worker:\n  cores: 4", "f:11: worker.cores: unknown field: use one of id, cpu"},
		{"other role's field", "calls:\n  maxBody: 1MiB", "f:11: calls.maxBody: not a field of role agent: remove it"},
		{"map for a value", "worker:\n  id: {a: b}", "f:11: worker.id: a single value is expected"},
		{"empty value", "worker:\n  id:", "f:11: worker.id: a single value is expected"},
		{"value for a group", "drain: soon", "f:10: drain: a group of fields is expected"},
		{"duplicate field", "id: again", "f:10: not valid YAML"},
		{"heartbeat", "heartbeat:\n  interval: 2s", "f:11: heartbeat.timeout: 3s contradicts heartbeat.interval 2s"},
		{"worker lease and renewal", "lease:\n  worker: 15s", "f:11: lease.worker: 15s contradicts lease.renewal 10s"},
		{"worker lease and heartbeat timeout", "lease:\n  worker: 20s\nheartbeat:\n  timeout: 20s", "f:11: lease.worker: 20s contradicts heartbeat.timeout 20s"},
		{"platform lease", "lease:\n  platform: 9s", "f:11: lease.platform: 9s contradicts lease.platformRenewal 5s"},
		{"announcements", "announcement:\n  timeout: 1s", "f:11: announcement.timeout: 1s contradicts announcement.interval 1s"},
		{"drain", "drain:\n  timeout: 1s", "f:11: drain.timeout: 1s contradicts drain.notice 2s"},
		{"plain address with TLS", "tls: {certificate: a, key: b, authority: c}", "f:9: entries: contradicts tls.certificate: use https"},
		{"half of TLS", "tls:\n  certificate: a.pem", "f:11: tls.certificate: contradicts tls.key: name certificate, key and authority together"},
	}
	entryCases := len(cases)
	cases = append(cases, []struct{ name, extra, want string }{
		{"tokens without a table", "log:\n  level: info", "f: authentication: contradicts table.url: name the table that holds the tokens"},
		{"operators without a table", "  operators: 127.0.0.1:4\nauthentication: headers", "f:10: listen.operators: contradicts table.url: name the table"},
		{"token for a hash", "authentication: headers\noperators:\n  bootstrapTokenHash: secret", "f:12: operators.bootstrapTokenHash: invalid value \"(redacted)\": give"},
	}...)
	covered := map[string]bool{}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			base := validAgent
			if i >= entryCases {
				base = validEntry
			}
			_, err := Parse("f", []byte(base+c.extra+"\n"))
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))                    // returns the typed error
			is.Equal(len(invalid.Problems), 1)                   // with a single problem
			is.True(strings.HasPrefix(err.Error(), c.want))      // the message names line and field
			is.True(invalid.Problems[0].Remedy != "")            // and has a remedy
			covered[invalid.Problems[0].Field+" "+c.name] = true // reported under its field
		})
	}
	for _, r := range constraints {
		found := false
		for k := range covered {
			found = found || strings.HasPrefix(k, r.field+" ")
		}
		is.New(t).True(found) // every constraint has a test case
	}
}

// Guards against a panic on malformed input, and against accepting input that is
// not a single mapping.
func TestInputThatIsNoMapping(t *testing.T) {
	for _, text := range []string{"", "- a", "x", "a: [", "---\nrole: entry\n---\nrole: agent", "? {a: b}\n: c", "role: &r entry\nid: *r", "\x00", "role: [entry]", strings.Repeat("a", maxFileSize+1)} {
		_, err := Parse("f", []byte(text))
		var invalid *InvalidError
		is.New(t).True(errors.As(err, &invalid) && len(invalid.Problems) > 0)
	}
	_, err := Load(filepath.Join(t.TempDir(), "absent.yaml"))
	is.New(t).True(strings.Contains(err.Error(), "check its name and permissions"))
	is.New(t).True(!errors.Is(err, os.ErrClosed))
}
