// Package announcement decides which announcements of an executor its agent follows. It
// answers the load of announcements that are late, or that another writer has sent: a single
// one must neither replace the executor nor make the agent ignore the later ones.
package announcement
