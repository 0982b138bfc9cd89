// Package clientlimit decides which requests and connections of clients a process gives up
// when its memory, its descriptors or the slots of endpoints run out, and in a planned stop. The
// load that it handles is many clients that send large bodies at once, stop short of the end of a
// request and stay connected, or connect again and again, beside ordinary callers with small
// requests.
package clientlimit
