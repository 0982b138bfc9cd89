// Package operatorhttp implements the administration API of an entry and its
// client. It changes the configuration in the table, keeps the entry's replica
// up to date, serves the status and the audit trail, and explains decisions.
package operatorhttp
