// Package credit decides which class the next free slot of a service belongs
// to: classes below their floor first, then by weight.
package credit
