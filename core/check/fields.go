package check

import "strings"

// maxEdits is the largest edit distance at which a known field is suggested for an
// unknown one. Two edits cover a typing error and exchanged letters.
const maxEdits = 2

// UnknownFieldFinding returns the finding about a field that is not one of the known ones.
func UnknownFieldFinding(index int, object, field, name string, known []string) Finding {
	remedy := "remove the field; the known fields are " + strings.Join(known, ", ")
	if s := nearest(name, known); s != "" {
		remedy = "write " + s + ", or remove the field"
	}
	return Finding{Kind: UnknownField, Index: index, Object: object, Field: field, Text: "the field is unknown", Remedy: remedy}
}

// nearest returns the known name with the smallest edit distance to a name, or "" if
// each has more than maxEdits.
func nearest(name string, known []string) string {
	best, least := "", maxEdits+1
	for _, k := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < least {
			best, least = k, d
		}
	}
	return best
}

// editDistance returns the number of insertions, deletions and replacements of bytes
// that turn a into b. Lengths that differ by more than maxEdits are not compared, which
// bounds the time for very long names.
func editDistance(a, b string) int {
	if d := max(len(a)-len(b), len(b)-len(a)); d > maxEdits {
		return d
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}
