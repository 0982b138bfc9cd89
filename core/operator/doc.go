// Package operator decides about configuration: it validates versioned
// objects, builds the transactions of changes with their audit records, and
// keeps the replica of the configuration that each process has in force.
package operator
