// Command teaselgauge-agent runs beside one backend server and is the only
// process that gives it orders.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/agent"
	"teaselgauge.example/teaselgauge/pkg/command"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	site := command.Serve[settings.Agent]{
		Name:    "run",
		Usage:   "serve the backend server until SIGTERM",
		Load:    settings.LoadAgent,
		Log:     func(config settings.Agent) settings.Log { return config.Log },
		Process: agent.Run,
	}
	root := &cli.Command{
		Name:     "teaselgauge-agent",
		Usage:    "process beside one backend server of a teaselgauge site",
		Commands: append(command.AgentCommands(), site.Command()),
	}
	os.Exit(command.Run(ctx, root, os.Args))
}
