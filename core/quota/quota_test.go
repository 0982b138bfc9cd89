package quota

import (
	"testing"

	"github.com/matryer/is"

	"oleandervalve"
)

func resources(cpu, accelerators int) oleandervalve.Resources {
	return oleandervalve.Resources{CPU: oleandervalve.Millicores(cpu), Memory: oleandervalve.Bytes(cpu), Accelerators: oleandervalve.Accelerators(accelerators)}
}

// Guards against lending to tasks that can't be evicted, lending more than is
// unused, and lent quota that delays its owner.
func TestLending(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.SetQuota("a", resources(100, 4))
	l.SetQuota("b", resources(100, 0))
	is.Equal(l.Claim("a", resources(100, 4), true), Owned)
	is.Equal(l.Claim("b", resources(150, 0), true), Borrowed)
	is.Equal(l.Claim("b", resources(150, 0), false), Refused) // non-evictable tasks don't borrow
	is.Equal(l.Claim("b", resources(201, 0), true), Refused)  // more than all unused quota
	l.Charge("b", resources(150, 0), true)
	is.True(l.Borrows("b", resources(1, 0)))
	is.Equal(l.Claim("b", resources(100, 0), false), Owned) // its borrowing doesn't block its non-evictable tasks
	is.True(!l.Borrows("b", resources(0, 1)))               // nothing borrowed in this dimension
	is.Equal(l.Claim("a", resources(100, 0), false), Owned) // the owner may use its quota while it is lent
	l.Charge("a", resources(10, 4), true)
	is.Equal(l.Teams(), []oleandervalve.TeamID{"a", "b"}) // share 1 before 1.5
	is.Equal(l.Share("a"), 1.0)                           // accelerators dominate
	l.Release("b", resources(150, 0), true)
	is.Equal(l.Teams(), []oleandervalve.TeamID{"b", "a"})
}
