// Package caller decides which waiting request an entry serves next and which
// it refuses.
package caller
