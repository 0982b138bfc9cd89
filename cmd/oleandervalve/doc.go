// Command oleandervalve runs entries, agents, stand-ins and operator commands.
package main
