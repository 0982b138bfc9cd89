// Package fencing decides how an agent keeps start orders that are in transit out of the later
// incarnations of its executor. It answers the load of executors that start again under their ids
// while start orders to earlier incarnations arrive many seconds late: an incarnation has seen no
// fencing token when it starts, and carries out whatever arrives before the first one.
package fencing
