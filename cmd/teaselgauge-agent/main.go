// Command teaselgauge-agent runs next to one backend server and is the only process
// that sends it orders. The subcommand "run" serves a teaselgauge site; "runner"
// serves a model runner of an external platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/agent"
	"teaselgauge.example/teaselgauge/pkg/command"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/runneragent"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/state"
	"teaselgauge.example/teaselgauge/pkg/telemetry"
	"teaselgauge.example/teaselgauge/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	siteCommand := command.ProcessCommand[settings.Agent]{
		Name:    "run",
		Usage:   "serve the backend server until SIGTERM",
		Load:    settings.LoadAgent,
		Host:    func(config settings.Agent) settings.Host { return config.Host },
		Log:     func(config settings.Agent) settings.Log { return config.Log },
		Process: runSite,
	}
	runnerCommand := command.ProcessCommand[settings.Runner]{
		Name:              "runner",
		Usage:             "serve a model runner of an external platform until SIGTERM",
		SettingsVariables: []string{platform.SettingsVariable},
		Load:              settings.LoadRunner,
		Host:              func(config settings.Runner) settings.Host { return config.Host },
		Log:               func(config settings.Runner) settings.Log { return config.Log },
		Process:           runRunner,
	}
	root := &cli.Command{
		Name:     "teaselgauge-agent",
		Usage:    "sidecar of one backend server of a teaselgauge site",
		Commands: append(command.AgentCommands(), siteCommand.Command(), runnerCommand.Command()),
	}
	os.Exit(command.Run(ctx, root, os.Args))
}

// runRunner runs the agent with the adapter of the external platform.
func runRunner(ctx context.Context, config settings.Runner, environment command.Environment[settings.Runner]) error {
	processTelemetry := telemetry.New(state.Identity{Program: "teaselgauge-agent", Version: environment.Version, HostID: config.Host.ID})
	defer processTelemetry.Close()
	runnerMetrics := metrics.NewRunner(processTelemetry.Scope())
	store := platform.NewStore(config.Store.Address).WithObserver(runnerMetrics.ObserveStore).WithEraObserver(command.LogStoreEra(environment.Logger))
	defer store.Close()
	runner := platform.NewRunner(config.Runner)
	defer runner.Close()
	return runneragent.Run(ctx, config, runneragent.Dependencies{
		Store:      store,
		StaleStore: store.WithStaleReads(),
		Runner:     runner,
		Telemetry:  processTelemetry,
		Metrics:    runnerMetrics,
	}, environment.Logger)
}

// runSite serves a teaselgauge site. Changes of the settings take effect on restart
// only.
func runSite(ctx context.Context, config settings.Agent, environment command.Environment[settings.Agent]) error {
	return agent.Run(ctx, config, environment.Version, environment.Logger)
}
