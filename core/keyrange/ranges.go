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
	// MaxClockDifference is the permitted difference between the clocks of two processes.
	MaxClockDifference = 500 * time.Millisecond
	// AheadLimit is how far a key's timestamp may be ahead of its home's clock.
	AheadLimit = 2 * time.Second
	// Margin is how much later than the takeover a key's timestamp must be to count as fresh.
	Margin = AheadLimit + 2*MaxClockDifference
)

// ID numbers a range of keys.
type ID uint8

// Of returns the range of a key in its scope.
func Of(c oleandervalve.CallerID, s oleandervalve.ServiceName, key string) ID {
	var d xxhash.Digest
	d.Reset()
	for _, p := range [...]string{string(c), "\x00", string(s), "\x00", key} {
		_, _ = d.WriteString(p)
	}
	return ID(d.Sum64() >> 56)
}

// Home identifies one run of an agent process; a restarted agent is another home.
type Home struct {
	Agent       oleandervalve.AgentID `cbor:"agent"`
	Incarnation uint64                `cbor:"incarnation"`
}

// IsZero reports whether no home is named.
func (h Home) IsZero() bool { return h == Home{} }

func (h Home) less(o Home) bool {
	if h.Agent != o.Agent {
		return h.Agent < o.Agent
	}
	return h.Incarnation < o.Incarnation
}

// Assignment is the home of one range.
type Assignment struct {
	Home Home
	// Since is the takeover time T by the table's clock; zero if no record was ever lost.
	Since time.Time
	// Transfer is the id of the planned move that brought the range here, or 0.
	Transfer uint64
}

// Map is one version of the assignment of all ranges; it is immutable, and the
// zero Map has no homes.
type Map struct {
	version oleandervalve.Version
	// ranges has Count elements, or none.
	ranges []Assignment
}

// copied returns a map with ranges that may be changed.
func (m Map) copied() Map {
	r := make([]Assignment, Count)
	copy(r, m.ranges)
	m.ranges = r
	return m
}

// sinceCommit stands for the commit time of the row that holds it. The proposer
// can't know that time, so whoever writes the next version fills it in.
const sinceCommit = -1

type rowRange struct {
	Home     int    `cbor:"home"`
	Since    int64  `cbor:"sinceMs,omitempty"`
	Transfer uint64 `cbor:"transfer,omitempty"`
}

type rowValue struct {
	Homes  []Home     `cbor:"homes"`
	Ranges []rowRange `cbor:"ranges"`
}

// Decode reads the map from its row; an absent row is a map without homes.
func Decode(row oleandervalve.Row) (Map, error) {
	m := Map{version: row.Version}.copied()
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
		if r.Home < -1 || r.Home >= len(v.Homes) {
			return Map{}, invalidRow(fmt.Sprintf("home %d", r.Home))
		}
		a := Assignment{Transfer: r.Transfer}
		if r.Home >= 0 {
			a.Home = v.Homes[r.Home]
		}
		switch {
		case r.Since == sinceCommit:
			// Rounded up so that the time in milliseconds is never before the commit.
			a.Since = row.WrittenAt.Truncate(time.Millisecond).Add(time.Millisecond)
		case r.Since > 0:
			a.Since = time.UnixMilli(r.Since)
		}
		m.ranges[i] = a
	}
	return m, nil
}

func invalidRow(detail string) error {
	return &oleandervalve.InvalidError{
		Field: "row " + string(MapKey), Value: detail, Remedy: "run the same release on all processes",
	}
}

// encode returns the row value; the ranges in fresh get the commit time as T.
func (m Map) encode(fresh map[ID]bool) []byte {
	v := rowValue{Ranges: make([]rowRange, Count)}
	index := map[Home]int{}
	for i, a := range m.ranges {
		r := rowRange{Home: -1, Transfer: a.Transfer}
		if !a.Home.IsZero() {
			n, ok := index[a.Home]
			if !ok {
				n = len(v.Homes)
				index[a.Home] = n
				v.Homes = append(v.Homes, a.Home)
			}
			r.Home = n
		}
		if fresh[ID(i)] {
			r.Since = sinceCommit
		} else if !a.Since.IsZero() {
			r.Since = a.Since.UnixMilli()
		}
		v.Ranges[i] = r
	}
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // The types have no value that CBOR can't hold.
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

// Ranges lists the ranges of a home in ascending order.
func (m Map) Ranges(h Home) []ID {
	var out []ID
	for i, a := range m.ranges {
		if a.Home == h {
			out = append(out, ID(i))
		}
	}
	return out
}

// Homes lists the homes that the map names, in order.
func (m Map) Homes() []Home {
	seen := map[Home]bool{}
	var out []Home
	for _, a := range m.ranges {
		if !a.Home.IsZero() && !seen[a.Home] {
			seen[a.Home] = true
			out = append(out, a.Home)
		}
	}
	return sorted(out)
}

func sorted(h []Home) []Home {
	out := append([]Home(nil), h...)
	sort.Slice(out, func(i, j int) bool { return out[i].less(out[j]) })
	return out
}
