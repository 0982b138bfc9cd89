// Package table implements the client-side rules for using the table service:
// a budget of reads and writes with priorities, and the resolution of
// transactions whose response was lost.
package table
