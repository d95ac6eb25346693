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

// Serve describes a subcommand that runs a process.
type Serve[T any] struct {
	Name  string
	Usage string
	// SettingsVariables name environment variables with the path of the settings
	// file, beside the product's own.
	SettingsVariables []string
	Load              func(path string) (T, error)
	// Log picks the settings of the logger.
	Log     func(T) settings.Log
	Process Process[T]
}

// Command returns the subcommand, which loads the settings and runs the process
// until SIGTERM.
func (s Serve[T]) Command() *cli.Command {
	return &cli.Command{
		Name:  s.Name,
		Usage: s.Usage,
		Flags: []cli.Flag{SettingsFlag(s.SettingsVariables...)},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			config, err := s.Load(cmd.String("settings"))
			if err != nil {
				return &RefusedError{Err: err}
			}
			logger, err := logging.New(os.Stderr, s.Log(config))
			if err != nil {
				return fmt.Errorf("log settings: %w", err)
			}
			slog.SetDefault(logger)
			return s.Process(ctx, config, Version(), logger)
		},
	}
}
