package keyrange

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"oleandervalve"
)

const (
	// Count is the number of ranges.
	Count = 256
	// MapKey is the key of the table row that holds the map.
	MapKey oleandervalve.Key = "keyRanges"
	// MaxClockSkew is the permitted difference between the clocks of two processes.
	MaxClockSkew = 500 * time.Millisecond
	// MaxTimestampAhead is how far a key's timestamp may be ahead of its owner's clock.
	MaxTimestampAhead = 2 * time.Second
	// TakeoverMargin is how much later than the takeover a key's timestamp must be
	// for the key to count as new.
	TakeoverMargin = MaxTimestampAhead + 2*MaxClockSkew
)

// ID numbers a range of keys.
type ID uint8

// Of returns the range of a key of a caller for a service.
func Of(c oleandervalve.CallerID, s oleandervalve.ServiceName, key string) ID {
	var d xxhash.Digest
	d.Reset()
	for _, p := range [...]string{string(c), "\x00", string(s), "\x00", key} {
		_, _ = d.WriteString(p)
	}
	return ID(d.Sum64() >> 56)
}

// Owner identifies one incarnation of an agent; a restarted agent is a different owner.
type Owner struct {
	Agent       oleandervalve.AgentID `cbor:"agent"`
	Incarnation uint64                `cbor:"incarnation"`
}

// IsZero reports whether no owner is set.
func (o Owner) IsZero() bool { return o == Owner{} }

func (o Owner) less(other Owner) bool {
	if o.Agent != other.Agent {
		return o.Agent < other.Agent
	}
	return o.Incarnation < other.Incarnation
}

// Assignment is the owner of one range and how it became the owner.
type Assignment struct {
	Owner Owner
	// TakenOverAt is the time of the last takeover by the table's clock; zero if the
	// range has never been taken over.
	TakenOverAt time.Time
	// Transfer is the id of the planned transfer by which the owner got the range, or 0.
	Transfer uint64
}

// Map is one version of the assignment of all ranges; it is immutable, and the
// zero Map has no owners.
type Map struct {
	version oleandervalve.Version
	// ranges has Count elements or is nil.
	ranges []Assignment
}

// clone returns a copy whose ranges may be modified.
func (m Map) clone() Map {
	r := make([]Assignment, Count)
	copy(r, m.ranges)
	m.ranges = r
	return m
}

// takenOverAtCommit in a row stands for the row's own commit time. The process that
// proposes the row can't know that time; whoever writes the next version replaces
// the placeholder by it.
const takenOverAtCommit = -1

// rowRange is the stored form of an Assignment; Owner is an index into
// rowValue.Owners, or -1.
type rowRange struct {
	Owner       int    `cbor:"home"`
	TakenOverAt int64  `cbor:"sinceMs,omitempty"`
	Transfer    uint64 `cbor:"transfer,omitempty"`
}

// rowValue is the value of the map's row.
type rowValue struct {
	Owners []Owner    `cbor:"homes"`
	Ranges []rowRange `cbor:"ranges"`
}

// Decode reads the map from its row; an absent row yields a map without owners.
func Decode(row oleandervalve.Row) (Map, error) {
	m := Map{version: row.Version}.clone()
	if row.Version == 0 {
		return m, nil
	}
	var v rowValue
	if err := cbor.Unmarshal(row.Value, &v); err != nil {
		return Map{}, invalidRow(err.Error())
	}
	if len(v.Ranges) != Count {
		return Map{}, invalidRow(fmt.Sprintf("%d ranges", len(v.Ranges)))
	}
	for i, r := range v.Ranges {
		if r.Owner < -1 || r.Owner >= len(v.Owners) {
			return Map{}, invalidRow(fmt.Sprintf("home %d", r.Owner))
		}
		a := Assignment{Transfer: r.Transfer}
		if r.Owner >= 0 {
			a.Owner = v.Owners[r.Owner]
		}
		switch {
		case r.TakenOverAt == takenOverAtCommit:
			// Rounded up so that the time in milliseconds is never earlier than the commit.
			a.TakenOverAt = row.WrittenAt.Truncate(time.Millisecond).Add(time.Millisecond)
		case r.TakenOverAt > 0:
			a.TakenOverAt = time.UnixMilli(r.TakenOverAt)
		}
		m.ranges[i] = a
	}
	return m, nil
}

func invalidRow(value string) error {
	return &oleandervalve.InvalidError{
		Field: "row " + string(MapKey), Value: value, Remedy: "run the same release on all processes",
	}
}

// encode returns the row value; the ranges in takenOver get the commit time as
// their takeover time.
func (m Map) encode(takenOver map[ID]bool) []byte {
	v := rowValue{Ranges: make([]rowRange, Count)}
	index := map[Owner]int{}
	for i, a := range m.ranges {
		r := rowRange{Owner: -1, Transfer: a.Transfer}
		if !a.Owner.IsZero() {
			n, ok := index[a.Owner]
			if !ok {
				n = len(v.Owners)
				index[a.Owner] = n
				v.Owners = append(v.Owners, a.Owner)
			}
			r.Owner = n
		}
		if takenOver[ID(i)] {
			r.TakenOverAt = takenOverAtCommit
		} else if !a.TakenOverAt.IsZero() {
			r.TakenOverAt = a.TakenOverAt.UnixMilli()
		}
		v.Ranges[i] = r
	}
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // These types have no value that CBOR can't encode.
	}
	return b
}

// Version returns the version of the map's row.
func (m Map) Version() oleandervalve.Version { return m.version }

// Get returns the assignment of a range.
func (m Map) Get(r ID) Assignment {
	if m.ranges == nil {
		return Assignment{}
	}
	return m.ranges[r]
}

// Ranges lists the ranges of an owner in ascending order.
func (m Map) Ranges(owner Owner) []ID {
	var out []ID
	for i, a := range m.ranges {
		if a.Owner == owner {
			out = append(out, ID(i))
		}
	}
	return out
}

// Owners lists the owners of all ranges, sorted and without duplicates.
func (m Map) Owners() []Owner {
	seen := map[Owner]bool{}
	var out []Owner
	for _, a := range m.ranges {
		if !a.Owner.IsZero() && !seen[a.Owner] {
			seen[a.Owner] = true
			out = append(out, a.Owner)
		}
	}
	return sortedOwners(out)
}

func sortedOwners(owners []Owner) []Owner {
	out := append([]Owner(nil), owners...)
	sort.Slice(out, func(i, j int) bool { return out[i].less(out[j]) })
	return out
}
