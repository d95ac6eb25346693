// Package site configures and runs a whole site as processes on loopback addresses:
// the stand-ins, an agent beside each backend server, and the entries. Tests and the
// demo use it to send requests and to inject faults.
package site
