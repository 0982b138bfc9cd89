package operatorcli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"oleandervalve"
	"oleandervalve/core/operator"
	"oleandervalve/io/operatorhttp"
)

// Exit codes of all operator commands.
const (
	ExitOK = 0
	// ExitError is any failure without a more specific code.
	ExitError = 1
	// ExitUsage is an invalid command line or input; nothing was changed.
	ExitUsage = 2
	// ExitConflict is a change based on a version that is not current; nothing was
	// changed.
	ExitConflict = 3
	// ExitUnavailable is an entry or table that can't be reached, or a change
	// whose outcome is unknown. Retrying it with its change id is safe.
	ExitUnavailable = 4
)

// ExitHelp documents the exit codes in the commands' help.
const ExitHelp = "Exit codes: 0 ok, 1 error, 2 usage or invalid input, 3 conflict, 4 unavailable or unknown outcome."

// Environment holds the dependencies of the commands on the process.
type Environment struct {
	In       io.Reader
	Out, Err io.Writer
	Clock    oleandervalve.Clock
	HTTP     *http.Client
	// ReadFile and Getenv default to the functions of package os.
	ReadFile func(string) ([]byte, error)
	Getenv   func(string) string
	// Hosted checks rows of the hosting platform; only the command check uses it.
	Hosted HostedFormat
	// Context cancels commands that run until interrupted.
	Context context.Context
}

// Common holds the options of every operator command.
type Common struct {
	Server string `long:"server" env:"OLEANDERVALVE_SERVER" default:"https://127.0.0.1:8443" value-name:"URL" description:"address of an entry"`
	// TokenFile is used instead of a flag with the token itself, which other users
	// could read in the process list.
	TokenFile string `long:"token-file" value-name:"FILE" description:"file that holds the bearer token; without it the variable OLEANDERVALVE_TOKEN is used"`
	Output    string `long:"output" short:"o" default:"table" choice:"table" choice:"json" description:"form of the output"`

	env *Environment
}

func (c *Common) context() context.Context {
	if c.env.Context != nil {
		return c.env.Context
	}
	return context.Background()
}

func (c *Common) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(c.env.In, maxInputBytes+1))
	}
	if c.env.ReadFile != nil {
		return c.env.ReadFile(path)
	}
	return os.ReadFile(path)
}

func (c *Common) newClient() (*operatorhttp.Client, error) {
	getenv := c.env.Getenv
	if getenv == nil {
		getenv = os.Getenv
	}
	token := getenv("OLEANDERVALVE_TOKEN")
	if c.TokenFile != "" {
		b, err := c.readFile(c.TokenFile)
		if err != nil {
			return nil, &oleandervalve.InvalidError{Field: "--token-file", Value: c.TokenFile, Remedy: "name a readable file that holds the token"}
		}
		token = strings.TrimSpace(string(b))
	}
	if token == "" {
		return nil, &oleandervalve.InvalidError{Field: "token", Remedy: "set OLEANDERVALVE_TOKEN or use --token-file"}
	}
	httpClient := c.env.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return operatorhttp.NewClient(c.Server, token, httpClient, c.env.Clock)
}

// examples holds the example in the help of each command.
var examples = map[string]string{
	"apply":    "Example: apply -f formaro.yaml. A document without a version changes the version that is current now.",
	"get":      "Examples: get service; get service formaro -o json.",
	"label":    "Example: label service/formaro tier=board canary- sets tier and removes canary.",
	"diff":     "Example: diff -f formaro.yaml.",
	"audit":    "Example: audit --from 2026-01-31T00:00:00Z --actor ilona --export > audit.jsonl.",
	"status":   "Example: status --watch.",
	"explain":  "Examples: explain class formaro export; explain job j-17; explain worker w-3; explain eviction j-17/4.",
	"drain":    "Example: drain w-3 --reason kernel-update --within 10m.",
	"evacuate": "Examples: evacuate north-1 --reason cooling; evacuate north-1 --withdraw. status shows what still runs there.",
	"cancel":   "Example: cancel j-17.",
}

// Register adds the operator commands to a parser of the command line.
func Register(p *flags.Parser, env *Environment) error {
	var (
		apply    ApplyCommand
		get      GetCommand
		label    LabelCommand
		diff     DiffCommand
		audit    AuditCommand
		status   StatusCommand
		explain  ExplainCommand
		drain    DrainCommand
		evacuate EvacuateCommand
		cancel   CancelCommand
	)
	for _, x := range []struct {
		name, short string
		data        any
		common      *Common
	}{
		{"apply", "create or change objects from a file", &apply, &apply.Common},
		{"get", "show objects", &get, &get.Common},
		{"label", "set or remove labels of an object", &label, &label.Common},
		{"diff", "show what apply would change", &diff, &diff.Common},
		{"audit", "show who changed what, and refused attempts", &audit, &audit.Common},
		{"status", "show how far the configuration has spread", &status, &status.Common},
		{"explain", "say why a class, job, worker or task is treated as it is", &explain, &explain.Common},
		{"drain", "begin the planned stop of an instance", &drain, &drain.Common},
		{"evacuate", "send nothing more to a data centre, until withdrawn", &evacuate, &evacuate.Common},
		{"cancel", "cancel a job", &cancel, &cancel.Common},
	} {
		x.common.env = env
		if _, err := p.AddCommand(x.name, x.short, examples[x.name]+"\n\n"+ExitHelp, x.data); err != nil {
			return errors.Wrapf(err, "command %s", x.name)
		}
	}
	return nil
}

// ExitCode returns the exit code of an error.
func ExitCode(err error) int {
	var (
		api         *operatorhttp.APIError
		usage       *flags.Error
		invalid     *oleandervalve.InvalidError
		validation  *operator.ValidationError
		file        *FileError
		input       *InputError
		unknown     *oleandervalve.UnknownOutcomeError
		unavailable *oleandervalve.UnavailableError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		if usage.Type == flags.ErrHelp {
			return ExitOK
		}
		return ExitUsage
	case errors.As(err, &invalid), errors.As(err, &validation), errors.As(err, &file), errors.As(err, &input):
		return ExitUsage
	case errors.As(err, &unknown), errors.As(err, &unavailable):
		return ExitUnavailable
	case errors.As(err, &api):
		return apiExitCode(api)
	}
	return ExitError
}

func apiExitCode(e *operatorhttp.APIError) int {
	switch e.Reason {
	case operatorhttp.ReasonInvalid, operatorhttp.ReasonTooLarge, operatorhttp.ReasonChangeIDReused:
		return ExitUsage
	case operatorhttp.ReasonConflict:
		return ExitConflict
	case operatorhttp.ReasonUnavailable, operatorhttp.ReasonUnknownOutcome, operatorhttp.ReasonNotReady, operatorhttp.ReasonRateLimited:
		return ExitUnavailable
	}
	return ExitError
}

// Report prints an error with its invalid fields and returns its exit code.
func Report(w io.Writer, err error) int {
	code := ExitCode(err)
	var usage *flags.Error
	if err == nil || errors.As(err, &usage) {
		return code // The parser has already printed usage errors.
	}
	_, _ = fmt.Fprintln(w, "error:", err)
	var api *operatorhttp.APIError
	if errors.As(err, &api) {
		for _, p := range api.Problems {
			_, _ = fmt.Fprintf(w, "  %s: invalid value %q: %s\n", p.Field, p.Value, p.Remedy)
		}
	}
	return code
}

// newChangeID returns a random change id.
func newChangeID() operator.ChangeID {
	b := make([]byte, 12)
	_, _ = rand.Read(b) // rand.Read never returns an error; it ends the process instead.
	return operator.ChangeID(hex.EncodeToString(b))
}

// statusRefreshInterval is the time between refreshes of status --watch.
const statusRefreshInterval = 2 * time.Second
