// Command teaselgauge-entry runs on an entry host: it answers callers and
// administrators and takes the site's decisions.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/command"
	"teaselgauge.example/teaselgauge/pkg/entry"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logs := func(config settings.Entry) settings.Log { return config.Log }
	serve := command.ServeCommand("serve callers and administrators until SIGTERM", settings.LoadEntry, logs, entry.Run)
	root := &cli.Command{
		Name:     "teaselgauge-entry",
		Usage:    "entry host of a teaselgauge site",
		Commands: append(command.EntryCommands(), serve),
	}
	os.Exit(command.Run(ctx, root, os.Args))
}
