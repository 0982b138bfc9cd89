// Package leasebound decides until when calls to an executor may have extended its lease. It answers
// the load of executors that start again under their id while calls are on their way, and that are
// cut off soon after: the deadline of a call is a time on the clock of one incarnation, and the next
// one, whose clock starts anew, grants its longest lease for it.
package leasebound
