// Package tcpstate reads the state of TCP connections from the kernel.
//
// The kernel reports a connection's error, such as a reset, to one call only: to whichever
// read, write or look at the data comes first. A read after it returns an end that looks
// orderly. The state keeps the difference, and reading it takes no error. It is known on
// Linux only.
package tcpstate
