// Package leader runs the dispatcher in the leading entry. It commits the
// dispatcher's decisions to the table and communicates with agents and the other
// entries.
package leader
