// Package handover decides whether a leader hands leadership to another entry that can serve the
// fleet better. It answers the load of a fleet that is too large for the processor or the link of
// its leader: tasks wait although executors have room for them.
package handover
