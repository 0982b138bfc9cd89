// Command standins3 runs the cases of the third review: it starts the hosted programs with stand-ins of
// executors, clients and the platform, and checks one rule for each case.
package main
