// Package quota tracks what teams use against their quotas, orders teams by
// their share, and lends unused quota to batch work until its owner needs it.
package quota
