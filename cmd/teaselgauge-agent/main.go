// Command teaselgauge-agent runs beside one backend server and is the only
// process that gives it orders.
package main

func main() {}
