// Package instance keeps the ledger of one instance, which decides the requests
// and tasks that its agent accepts. The ledger is authoritative for the
// instance's slots, connections, processors, memory and accelerators; the views
// that entries keep may be out of date.
package instance
