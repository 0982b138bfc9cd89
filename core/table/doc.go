// Package table holds the rules for using the table service: the budget of
// reads and writes with its priorities, and the resolution of transactions
// whose answer was lost.
package table
