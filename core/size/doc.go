// Package size learns how much processor time and memory each kind of task
// uses, because declared sizes may be off by a factor of ten in either direction.
package size
