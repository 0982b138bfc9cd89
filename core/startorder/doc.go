// Package startorder decides whether an agent may send a start order now. It answers the load of
// orders that wait: behind others without an answer, for an executor that can't be reached, or at
// an agent that was suspended. Such an order may have become obsolete, and the agent may not have
// learned it, because its leader has been replaced without knowing it.
package startorder
