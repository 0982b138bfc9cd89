// Package following decides whether an agent asks the table which entry leads, although it has a
// session with one. It answers the load of a leader that is cut off from the table and from the
// other entries, but not from its agents: it answers their pings, and would keep them from the
// entry that has replaced it.
package following
