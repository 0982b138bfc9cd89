// Package operatorcli holds the operator commands of the command line: each
// calls the administration API of an entry and prints a table or JSON.
package operatorcli
