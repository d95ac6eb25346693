package command

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

// Process is what a binary runs until its context ends, with its version and
// its logger.
type Process[T any] func(ctx context.Context, config T, version string, logger *slog.Logger) error

// ServeCommand returns the subcommand that loads the settings and runs the
// process until SIGTERM. logs picks the settings of the logger.
func ServeCommand[T any](usage string, load func(path string) (T, error), logs func(T) settings.Log, process Process[T]) *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: usage,
		Flags: []cli.Flag{SettingsFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			config, err := load(cmd.String("settings"))
			if err != nil {
				return &RefusedError{Err: err}
			}
			logger, err := logging.New(os.Stderr, logs(config))
			if err != nil {
				return fmt.Errorf("log settings: %w", err)
			}
			slog.SetDefault(logger)
			return process(ctx, config, Version(), logger)
		},
	}
}
