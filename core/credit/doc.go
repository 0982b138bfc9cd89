// Package credit decides which class gets the next free slot of a service:
// classes below their floor first, then by weight.
package credit
