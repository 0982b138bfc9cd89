// Package operatorcli implements the operator commands of the command line. Each
// command calls the administration API of an entry and prints a table or JSON.
package operatorcli
