// Package operator implements the configuration of the system: it validates
// versioned objects, builds the transactions that change them together with
// their audit records, maintains each process's replica of the active
// configuration, and distributes changes from entries to agents as deltas.
package operator
