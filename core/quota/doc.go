// Package quota accounts for what teams use against their quotas, orders teams
// fairly, and lends unused quota to batch work until its owner needs it.
package quota
