// Command teaselgauge-entry runs on an entry host: it answers callers and
// administrators and takes the site's decisions.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/command"
	"teaselgauge.example/teaselgauge/pkg/entry"
	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cli.Command{
		Name:     "teaselgauge-entry",
		Usage:    "entry host of a teaselgauge site",
		Commands: append(command.EntryCommands(), runCommand()),
	}
	os.Exit(command.Run(ctx, root, os.Args))
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:   "run",
		Usage:  "serve callers and administrators until SIGTERM",
		Flags:  []cli.Flag{command.SettingsFlag()},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	config, err := settings.LoadEntry(cmd.String("settings"))
	if err != nil {
		return &command.RefusedError{Err: err}
	}
	logger, err := logging.New(os.Stderr, config.Log)
	if err != nil {
		return fmt.Errorf("log settings: %w", err)
	}
	slog.SetDefault(logger)
	return entry.Run(ctx, config, command.Version(), logger)
}
