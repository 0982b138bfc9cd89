// Package batching decides how much goes into one commit and how long its answer may take. It
// answers the load of a burst of changes behind a thin link: a commit that is given up before it
// can have been sent is repeated, fills the link again, and looks like an outage of the table.
package batching
