package quota

import (
	"testing"

	"github.com/matryer/is"

	"oleandervalve"
)

func res(cpu, accelerators int) oleandervalve.Resources {
	return oleandervalve.Resources{CPU: oleandervalve.Millicores(cpu), Memory: oleandervalve.Bytes(cpu), Accelerators: oleandervalve.Accelerators(accelerators)}
}

// Guards against loans to work that can't be evicted, loans of what is not
// unused, and a loan that delays the owner.
func TestLending(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.SetQuota("a", res(100, 4))
	l.SetQuota("b", res(100, 0))
	is.Equal(l.Claim("a", res(100, 4), true), Owned)
	is.Equal(l.Claim("b", res(150, 0), true), Borrowed)
	is.Equal(l.Claim("b", res(150, 0), false), Refused) // services don't borrow
	is.Equal(l.Claim("b", res(201, 0), true), Refused)  // nobody has that much
	l.Charge("b", res(150, 0), true)
	is.True(l.Borrows("b", res(1, 0)))
	is.Equal(l.Claim("b", res(100, 0), false), Owned) // its own loans don't stand in the way of its services
	is.True(!l.Borrows("b", res(0, 1)))               // nothing borrowed in this dimension
	is.Equal(l.Claim("a", res(100, 0), false), Owned) // the quota holds while it is lent
	l.Charge("a", res(10, 4), true)
	is.Equal(l.Teams(), []oleandervalve.TeamID{"a", "b"}) // share 1 before 1.5
	is.Equal(l.Share("a"), 1.0)                           // accelerators dominate
	l.Release("b", res(150, 0), true)
	is.Equal(l.Teams(), []oleandervalve.TeamID{"b", "a"})
}
