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

// errorType returns the type name of an error that a client returned.
func errorType(err error) string {
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

// faults are injected into every service. stopped means that the service does
// not listen; applied means that a write takes effect despite the fault.
var faults = []struct {
	name    string
	fault   standin.Fault
	stopped bool
	// read and write are the error types expected of a read and of a write.
	read, write string
	applied     bool
}{
	{"healthy", standin.Fault{}, false, none, none, true},
	{"stopped", standin.Fault{}, true, unavailable, unavailable, false},
	{"down", standin.Fault{Down: true}, false, unavailable, unavailable, false},
	{"slow", standin.Fault{Delay: time.Minute}, false, unavailable, unknown, false},
	{"dropped response", standin.Fault{DropResponse: true}, false, unavailable, unknown, true},
	{"malformed response", standin.Fault{Malformed: true}, false, unavailable, unknown, true},
	{"truncated response", standin.Fault{Truncate: true}, false, unavailable, unknown, true},
	{"internal error after the change", standin.Fault{Status: http.StatusInternalServerError}, false, unavailable, unknown, true},
	{"gateway timeout after the change", standin.Fault{Status: http.StatusGatewayTimeout}, false, unavailable, unknown, true},
	{"redirect", standin.Fault{Status: http.StatusNotModified}, false, unavailable, unknown, true},
}

// defaultTimeout is a client timeout that is exceeded only by the fault "slow".
const defaultTimeout = 10 * time.Second

func timeoutFor(f standin.Fault) time.Duration {
	if f.Delay > 0 {
		return 200 * time.Millisecond
	}
	return defaultTimeout
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

// withFault runs a call while the fault is active.
func (s *service) withFault(f standin.Fault, stopped bool, call func() error) error {
	s.faults.Set(f)
	defer s.faults.Set()
	if stopped {
		s.server.Close()
	}
	return call()
}

// Guards against reporting a commit that may have been applied as not applied,
// and against reporting one that was not applied as indeterminate, which would
// never be retried.
func TestTableFaults(t *testing.T) {
	ctx := context.Background()
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			table := standin.NewTable(oleandervalve.SystemClock(), 1)
			s := serve(t, table.Handler(), table.Faults)
			c := tablehttp.NewClient(s.server.URL, timeoutFor(f.fault))
			write := oleandervalve.Transaction{ID: "m1", Conditions: []oleandervalve.Condition{{Key: "a"}}, Puts: []oleandervalve.Put{{Key: "a", Value: []byte("1")}}}
			is.Equal(errorType(s.withFault(f.fault, f.stopped, func() error { _, err := c.Commit(ctx, write); return err })), f.write)
			if !f.stopped {
				rows, err := tablehttp.NewClient(s.server.URL, defaultTimeout).Get(ctx, "a")
				is.NoErr(err)
				is.Equal(rows[0].MutationID == "m1", f.applied) // the mutation id resolves the outcome
			}
			is.Equal(errorType(s.withFault(f.fault, f.stopped, func() error { _, err := c.Get(ctx, "a"); return err })), f.read)
			is.Equal(errorType(s.withFault(f.fault, f.stopped, func() error { _, err := c.Scan(ctx, "", "", 9); return err })), f.read)
		})
	}
	t.Run("conflict", func(t *testing.T) {
		is := is.New(t)
		table := standin.NewTable(oleandervalve.SystemClock(), 1)
		s := serve(t, table.Handler(), table.Faults)
		c := tablehttp.NewClient(s.server.URL, defaultTimeout)
		write := oleandervalve.Transaction{ID: "m1", Conditions: []oleandervalve.Condition{{Key: "a"}}, Puts: []oleandervalve.Put{{Key: "a"}}}
		_, err := c.Commit(ctx, write)
		is.NoErr(err)
		write.ID = "m2"
		_, err = c.Commit(ctx, write)
		is.Equal(errorType(err), conflict)
		is.Equal(err.(*oleandervalve.ConflictError).Current.MutationID, oleandervalve.MutationID("m1")) //nolint:errorlint // the type is asserted above
		for name, f := range map[string]standin.Fault{"dropped": {DropResponse: true}, "malformed": {Malformed: true}, "truncated": {Truncate: true}} {
			t.Log(name)
			is.Equal(errorType(s.withFault(f, false, func() error { _, err := c.Commit(ctx, write); return err })), unknown)
		}
	})
}

// Guards against creating a checkpoint twice, and against treating a lost
// response as a failed create.
func TestObjectStoreFaults(t *testing.T) {
	ctx := context.Background()
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			objects := standin.NewObjects(1)
			s := serve(t, objects.Handler(), objects.Faults)
			c := objecthttp.NewClient(s.server.URL, timeoutFor(f.fault))
			want := f.write
			if f.fault.Malformed {
				want = none // the status alone proves the write; its body is not used
			}
			is.Equal(errorType(s.withFault(f.fault, f.stopped, func() error { return c.Create(ctx, "a", []byte("1")) })), want)
			is.Equal(objects.Load("a") != nil, f.applied)
			is.Equal(errorType(s.withFault(f.fault, f.stopped, func() error { return c.Delete(ctx, "b") })), want)
			if f.applied {
				is.Equal(errorType(c.Create(ctx, "a", []byte("2"))), exists)
				is.Equal(string(objects.Load("a")), "1") // the content of an existing object never changes
				is.Equal(errorType(s.withFault(f.fault, f.stopped, func() error { _, err := c.Get(ctx, "a"); return err })), f.read)
			}
		})
	}
	t.Run("absent and too large", func(t *testing.T) {
		objects := standin.NewObjects(1)
		c := objecthttp.NewClient(serve(t, objects.Handler(), objects.Faults).server.URL, defaultTimeout)
		_, err := c.Get(ctx, "a")
		is.New(t).Equal(errorType(err), notFound)
		is.New(t).Equal(errorType(c.Create(ctx, "a", make([]byte, 5<<20))), invalid)
	})
}

// Guards against reporting a task start whose response was lost as not started,
// after which a second worker would run the task as well.
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
			c := platformhttp.NewClient(s.server.URL, timeoutFor(f.fault))
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
				is.Equal(errorType(s.withFault(f.fault, f.stopped, x.call)), x.want)
			}
			is.Equal(platform.Counts().Started == 1, f.applied)
			if f.applied {
				is.NoErr(c.Start(ctx, "w", spec, time.Hour)) // a repeated start has no effect
				is.Equal(platform.Counts().Started, 1)
				is.Equal(errorType(s.withFault(f.fault, f.stopped, func() error { return c.Stop(ctx, "w", "j/0", 1) })), f.write)
			}
		})
	}
	t.Run("unknown and terminated worker", func(t *testing.T) {
		platform := standin.NewPlatform(oleandervalve.SystemClock(), standin.PlatformConfig{
			Workers: map[oleandervalve.WorkerID]oleandervalve.Resources{"w": {CPU: 1}},
		})
		c := platformhttp.NewClient(serve(t, platform.Handler(), platform.Faults).server.URL, defaultTimeout)
		is.New(t).Equal(errorType(c.Start(ctx, "absent", spec, time.Hour)), notFound)
		platform.TerminateWorker("w")
		is.New(t).Equal(errorType(c.Start(ctx, "w", spec, time.Hour)), notFound)
		_, err := c.Checkpoint(ctx, "w", "j/0", 1)
		is.New(t).Equal(errorType(err), notFound)
	})
}
