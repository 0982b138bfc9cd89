package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandervalve"
	"oleandervalve/io/objecthttp"
	"oleandervalve/io/platformhttp"
	"oleandervalve/io/standin"
	"oleandervalve/io/tablehttp"
)

// kindOf names the typed error that a client returned.
func kindOf(err error) string {
	if err == nil {
		return "none"
	}
	return fmt.Sprintf("%T", err)
}

const (
	none        = "none"
	unavailable = "*oleandervalve.UnavailableError"
	unknown     = "*oleandervalve.UnknownOutcomeError"
	conflict    = "*oleandervalve.ConflictError"
	exists      = "*oleandervalve.ExistsError"
	notFound    = "*oleandervalve.NotFoundError"
	invalid     = "*oleandervalve.InvalidError"
)

// faults are the faults that every service is subjected to; took tells
// whether a write under the fault took effect. Stopped stands for a service
// that does not listen.
var faults = []struct {
	name    string
	fault   standin.Fault
	stopped bool
	// read and write are the errors of a read and of a write.
	read, write string
	took        bool
}{
	{"healthy", standin.Fault{}, false, none, none, true},
	{"stopped", standin.Fault{}, true, unavailable, unavailable, false},
	{"down", standin.Fault{Down: true}, false, unavailable, unavailable, false},
	{"slow", standin.Fault{Delay: time.Minute}, false, unavailable, unknown, false},
	{"answer lost", standin.Fault{LoseAnswer: true}, false, unavailable, unknown, true},
	{"malformed answer", standin.Fault{Malformed: true}, false, unavailable, unknown, true},
	{"cut answer", standin.Fault{Cut: true}, false, unavailable, unknown, true},
	{"internal error after the change", standin.Fault{Status: http.StatusInternalServerError}, false, unavailable, unknown, true},
	{"gateway timeout after the change", standin.Fault{Status: http.StatusGatewayTimeout}, false, unavailable, unknown, true},
	{"redirect", standin.Fault{Status: http.StatusNotModified}, false, unavailable, unknown, true},
}

// patience is a client timeout that only the fault "slow" exceeds.
const patience = 10 * time.Second

func timeoutUnder(f standin.Fault) time.Duration {
	if f.Delay > 0 {
		return 200 * time.Millisecond
	}
	return patience
}

type service struct {
	server *standin.Server
	faults *standin.Faults
}

func serve(t *testing.T, h http.Handler, f *standin.Faults) *service {
	t.Helper()
	s, err := standin.Serve("127.0.0.1:0", h)
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return &service{s, f}
}

// under runs a call while the fault is active.
func (s *service) under(f standin.Fault, stopped bool, call func() error) error {
	s.faults.Set(f)
	defer s.faults.Set()
	if stopped {
		s.server.Close()
	}
	return call()
}

// Guards against a commit that may have been applied being reported as
// without effect, and against the reverse, which would never be retried.
func TestTableFaults(t *testing.T) {
	ctx := context.Background()
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			table := standin.NewTable(oleandervalve.SystemClock(), 1)
			s := serve(t, table.Handler(), table.Faults)
			c := tablehttp.NewClient(s.server.URL, timeoutUnder(f.fault))
			write := oleandervalve.Transaction{ID: "m1", Conditions: []oleandervalve.Condition{{Key: "a"}}, Puts: []oleandervalve.Put{{Key: "a", Value: []byte("1")}}}
			is.Equal(kindOf(s.under(f.fault, f.stopped, func() error { _, err := c.Commit(ctx, write); return err })), f.write)
			if !f.stopped {
				rows, err := tablehttp.NewClient(s.server.URL, patience).Get(ctx, "a")
				is.NoErr(err)
				is.Equal(rows[0].MutationID == "m1", f.took) // the mutation id resolves the outcome
			}
			is.Equal(kindOf(s.under(f.fault, f.stopped, func() error { _, err := c.Get(ctx, "a"); return err })), f.read)
			is.Equal(kindOf(s.under(f.fault, f.stopped, func() error { _, err := c.Scan(ctx, "", "", 9); return err })), f.read)
		})
	}
	t.Run("conflict", func(t *testing.T) {
		is := is.New(t)
		table := standin.NewTable(oleandervalve.SystemClock(), 1)
		s := serve(t, table.Handler(), table.Faults)
		c := tablehttp.NewClient(s.server.URL, patience)
		write := oleandervalve.Transaction{ID: "m1", Conditions: []oleandervalve.Condition{{Key: "a"}}, Puts: []oleandervalve.Put{{Key: "a"}}}
		_, err := c.Commit(ctx, write)
		is.NoErr(err)
		write.ID = "m2"
		_, err = c.Commit(ctx, write)
		is.Equal(kindOf(err), conflict)
		is.Equal(err.(*oleandervalve.ConflictError).Current.MutationID, oleandervalve.MutationID("m1")) //nolint:errorlint // the type is asserted above
		for name, f := range map[string]standin.Fault{"lost": {LoseAnswer: true}, "malformed": {Malformed: true}, "cut": {Cut: true}} {
			t.Log(name)
			is.Equal(kindOf(s.under(f, false, func() error { _, err := c.Commit(ctx, write); return err })), unknown)
		}
	})
}

// Guards against a checkpoint being created twice or a lost answer being
// taken for a failed create.
func TestObjectStoreFaults(t *testing.T) {
	ctx := context.Background()
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			objects := standin.NewObjects(1)
			s := serve(t, objects.Handler(), objects.Faults)
			c := objecthttp.NewClient(s.server.URL, timeoutUnder(f.fault))
			want := f.write
			if f.fault.Malformed {
				want = none // the status alone proves the write; its body is not used
			}
			is.Equal(kindOf(s.under(f.fault, f.stopped, func() error { return c.Create(ctx, "a", []byte("1")) })), want)
			is.Equal(objects.Load("a") != nil, f.took)
			is.Equal(kindOf(s.under(f.fault, f.stopped, func() error { return c.Delete(ctx, "b") })), want)
			if f.took {
				is.Equal(kindOf(c.Create(ctx, "a", []byte("2"))), exists)
				is.Equal(string(objects.Load("a")), "1") // a name never changes its content
				is.Equal(kindOf(s.under(f.fault, f.stopped, func() error { _, err := c.Get(ctx, "a"); return err })), f.read)
			}
		})
	}
	t.Run("absent and too large", func(t *testing.T) {
		objects := standin.NewObjects(1)
		c := objecthttp.NewClient(serve(t, objects.Handler(), objects.Faults).server.URL, patience)
		_, err := c.Get(ctx, "a")
		is.New(t).Equal(kindOf(err), notFound)
		is.New(t).Equal(kindOf(c.Create(ctx, "a", make([]byte, 5<<20))), invalid)
	})
}

// Guards against a task start whose answer was lost being reported as not
// started, after which another worker would run the task too.
func TestPlatformFaults(t *testing.T) {
	ctx := context.Background()
	spec := oleandervalve.TaskSpec{Task: "j/0", Epoch: 1, Size: oleandervalve.Resources{CPU: 1}}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			platform := standin.NewPlatform(oleandervalve.SystemClock(), standin.PlatformConfig{
				Workers: map[oleandervalve.WorkerID]oleandervalve.Resources{"w": {CPU: 1}},
			})
			s := serve(t, platform.Handler(), platform.Faults)
			c := platformhttp.NewClient(s.server.URL, timeoutUnder(f.fault))
			calls := []struct {
				want string
				call func() error
			}{
				{f.write, func() error { return c.Start(ctx, "w", spec, time.Hour) }},
				{f.write, func() error { return c.Renew(ctx, "w", []oleandervalve.TaskID{"j/0"}, time.Hour) }},
				{f.read, func() error { _, err := c.Status(ctx, "w"); return err }},
				{f.read, func() error { _, err := c.Usage(ctx, "w", time.Time{}); return err }},
			}
			for i, x := range calls {
				t.Log(i)
				is.Equal(kindOf(s.under(f.fault, f.stopped, x.call)), x.want)
			}
			is.Equal(platform.Counts().Started == 1, f.took)
			if f.took {
				is.NoErr(c.Start(ctx, "w", spec, time.Hour)) // repeating has no effect
				is.Equal(platform.Counts().Started, 1)
				is.Equal(kindOf(s.under(f.fault, f.stopped, func() error { return c.Stop(ctx, "w", "j/0", 1) })), f.write)
			}
		})
	}
	t.Run("unknown and lost worker", func(t *testing.T) {
		platform := standin.NewPlatform(oleandervalve.SystemClock(), standin.PlatformConfig{
			Workers: map[oleandervalve.WorkerID]oleandervalve.Resources{"w": {CPU: 1}},
		})
		c := platformhttp.NewClient(serve(t, platform.Handler(), platform.Faults).server.URL, patience)
		is.New(t).Equal(kindOf(c.Start(ctx, "absent", spec, time.Hour)), notFound)
		platform.Lose("w")
		is.New(t).Equal(kindOf(c.Start(ctx, "w", spec, time.Hour)), notFound)
		_, err := c.Checkpoint(ctx, "w", "j/0", 1)
		is.New(t).Equal(kindOf(err), notFound)
	})
}
