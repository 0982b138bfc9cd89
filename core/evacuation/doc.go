// Package evacuation keeps the set of data centres that operators evacuate, and how old the knowledge
// of it is. It answers the load of operators who request that nothing more is started in a data
// centre while a leader may be cut off from the table, or the table slow: the set alone can't tell
// that it is out of date.
package evacuation
