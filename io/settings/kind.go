package settings

import (
	"fmt"
	"math"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"oleandervalve"
)

// kind describes and parses the values of one type of field.
type kind struct {
	unit   string
	limits string
	// secret redacts an invalid value in problem reports.
	secret bool
	// set parses text and stores the value in target, a pointer to a field of
	// Settings. It returns "", or a remedy if the text is invalid.
	set func(target any, text string) string
}

func duration(shortest, longest time.Duration) kind {
	return kind{unit: "duration", limits: durationText(shortest) + " to " + durationText(longest), set: func(target any, text string) string {
		d, err := time.ParseDuration(text)
		if err != nil {
			return `write a duration with its unit, such as 500ms, 10s or 5m`
		}
		if d < shortest || d > longest {
			return fmt.Sprintf("use a duration from %s to %s", durationText(shortest), durationText(longest))
		}
		*target.(*time.Duration) = d
		return ""
	}}
}

// durationText formats a duration without trailing zero units: 5m, not 5m0s.
func durationText(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

var sizeUnits = []struct {
	name  string
	bytes oleandervalve.Bytes
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

var sizePattern = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)

func size(smallest, largest oleandervalve.Bytes) kind {
	return kind{unit: "size", limits: sizeText(smallest) + " to " + sizeText(largest), set: func(target any, text string) string {
		m := sizePattern.FindStringSubmatch(text)
		if m == nil {
			return "write a whole number with the unit B, KiB, MiB or GiB, such as 8MiB"
		}
		n, err := strconv.ParseInt(m[1], 10, 64)
		for _, u := range sizeUnits {
			if u.name == m[2] {
				if n > math.MaxInt64/int64(u.bytes) {
					err = strconv.ErrRange
				}
				n *= int64(u.bytes)
			}
		}
		b := oleandervalve.Bytes(n)
		if err != nil || b < smallest || b > largest {
			return fmt.Sprintf("use a size from %s to %s", sizeText(smallest), sizeText(largest))
		}
		*target.(*oleandervalve.Bytes) = b
		return ""
	}}
}

func sizeText(b oleandervalve.Bytes) string {
	for _, u := range sizeUnits {
		if b >= u.bytes && b%u.bytes == 0 {
			return strconv.FormatInt(int64(b/u.bytes), 10) + u.name
		}
	}
	return "0B"
}

func integer(unit string, smallest, largest int64) kind {
	return kind{unit: unit, limits: fmt.Sprintf("%d to %d", smallest, largest), set: func(target any, text string) string {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < smallest || n > largest {
			return fmt.Sprintf("use a whole number of %s from %d to %d, without a unit", unit, smallest, largest)
		}
		switch p := target.(type) {
		case *int:
			*p = int(n)
		case *uint64:
			*p = uint64(n)
		case *oleandervalve.Millicores:
			*p = oleandervalve.Millicores(n)
		case *oleandervalve.Accelerators:
			*p = oleandervalve.Accelerators(n)
		}
		return ""
	}}
}

func address() kind {
	return kind{unit: "address", limits: "IP address and port", set: func(target any, text string) string {
		host, port, err := net.SplitHostPort(text)
		_, portErr := strconv.ParseUint(port, 10, 16)
		if err != nil || portErr != nil || (host != "" && net.ParseIP(host) == nil) {
			return "write an IP address and a port, such as 127.0.0.1:7101"
		}
		*target.(*string) = text
		return ""
	}}
}

func baseURL() kind {
	return kind{unit: "URL", limits: "http or https, without a path", set: func(target any, text string) string {
		if !isBaseURL(text) {
			return "write a URL with scheme, host and port and without a path, such as http://127.0.0.1:7102"
		}
		*target.(*string) = text
		return ""
	}}
}

func isBaseURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.Path == "" && u.RawQuery == "" && u.User == nil
}

// urlList returns the kind of a list of URLs: each call of its set function parses
// one URL and appends it to the list.
func urlList() kind {
	k := baseURL()
	return kind{unit: "list of URLs", limits: "at least one; " + k.limits, set: func(target any, text string) string {
		var element string
		if remedy := k.set(&element, text); remedy != "" {
			return remedy
		}
		return appendUnique(target.(*[]string), element)
	}}
}

// nameList returns the kind of a list of names: each call of its set function parses
// one name and appends it to the list.
func nameList() kind {
	return kind{unit: "list of names", limits: "at least one", set: func(target any, text string) string {
		if !namePattern.MatchString(text) {
			return nameRemedy
		}
		return appendUnique(target.(*[]string), text)
	}}
}

func appendUnique(list *[]string, text string) string {
	if slices.Contains(*list, text) {
		return "list each value once"
	}
	*list = append(*list, text)
	return ""
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

const nameRemedy = "use 1 to 63 letters, digits, '.', '_' or '-', beginning and ending with a letter or digit"

func name() kind {
	return kind{unit: "name", limits: "1 to 63 characters", set: func(target any, text string) string {
		if !namePattern.MatchString(text) {
			return nameRemedy
		}
		setString(target, text)
		return ""
	}}
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func hash() kind {
	return kind{unit: "SHA-256 hash", limits: "64 hexadecimal digits", secret: true, set: func(target any, text string) string {
		if !hashPattern.MatchString(text) {
			return "give the SHA-256 hash of the token as 64 lower case hexadecimal digits, never the token"
		}
		setString(target, text)
		return ""
	}}
}

func file() kind {
	return kind{unit: "file name", limits: "", set: func(target any, text string) string {
		setString(target, text)
		return ""
	}}
}

func oneOf(values ...string) kind {
	return kind{unit: "word", limits: strings.Join(values, ", "), set: func(target any, text string) string {
		if !slices.Contains(values, text) {
			return "use one of " + strings.Join(values, ", ")
		}
		setString(target, text)
		return ""
	}}
}

func setString(target any, text string) {
	switch p := target.(type) {
	case *string:
		*p = text
	case *Role:
		*p = Role(text)
	case *oleandervalve.RegionID:
		*p = oleandervalve.RegionID(text)
	case *oleandervalve.DataCentreID:
		*p = oleandervalve.DataCentreID(text)
	case *oleandervalve.RackID:
		*p = oleandervalve.RackID(text)
	}
}

// formatValue formats the value that target points to as it is written in a
// settings file. It returns "" for lists.
func formatValue(target any) string {
	switch p := target.(type) {
	case *time.Duration:
		return durationText(*p)
	case *oleandervalve.Bytes:
		return sizeText(*p)
	case *int:
		return strconv.Itoa(*p)
	case *uint64:
		return strconv.FormatUint(*p, 10)
	case *oleandervalve.Millicores:
		return strconv.FormatInt(int64(*p), 10)
	case *oleandervalve.Accelerators:
		return strconv.Itoa(int(*p))
	case *string:
		return *p
	case *Role:
		return string(*p)
	case *oleandervalve.RegionID:
		return string(*p)
	case *oleandervalve.DataCentreID:
		return string(*p)
	case *oleandervalve.RackID:
		return string(*p)
	}
	return ""
}
