// Command harness runs one case of the review: it starts the project's hosted programs as
// separate processes on loopback addresses, with stand-ins of the platform's store, of the
// executors and of the callers, causes one disruption, and checks one rule from what the
// stand-ins have seen.
package main
