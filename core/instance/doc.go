// Package instance decides what one instance takes on: its agent's ledger of
// slots, connections, processors, memory and accelerators is the judge of
// capacity, whatever entries believe.
package instance
