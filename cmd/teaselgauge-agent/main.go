// Command teaselgauge-agent runs beside one backend server and is the only
// process that gives it orders.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/agent"
	"teaselgauge.example/teaselgauge/pkg/command"
	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cli.Command{
		Name:     "teaselgauge-agent",
		Usage:    "process beside one backend server of a teaselgauge site",
		Commands: append(command.AgentCommands(), runCommand()),
	}
	os.Exit(command.Run(ctx, root, os.Args))
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:   "run",
		Usage:  "serve the backend server until SIGTERM",
		Flags:  []cli.Flag{command.SettingsFlag()},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	config, err := settings.LoadAgent(cmd.String("settings"))
	if err != nil {
		return &command.RefusedError{Err: err}
	}
	logger, err := logging.New(os.Stderr, config.Log)
	if err != nil {
		return fmt.Errorf("log settings: %w", err)
	}
	slog.SetDefault(logger)
	return agent.Run(ctx, config, command.Version(), logger)
}
