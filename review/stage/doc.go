// Command stage plays one case of the review with the hosted programs as separate processes. The
// platform's table is the project's emulator; the executors, their announcements and the callers are
// stand-ins of its own that follow the users' pages.
package main
