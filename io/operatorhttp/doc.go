// Package operatorhttp is the administration API of an entry and its client:
// it changes the configuration in the table, keeps the entry's replica up to
// date, and answers questions about status, audit and decisions.
package operatorhttp
