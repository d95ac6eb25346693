// Command teaselgauge-entry runs on an entry host: it answers callers and
// administrators and takes the site's decisions.
package main

func main() {}
