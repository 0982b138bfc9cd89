// Package size learns how much each kind of task really uses, because
// declared sizes may be off by a factor of ten in either direction.
package size
