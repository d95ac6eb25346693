// Command teaselgauge-agent runs beside one backend server and is the only
// process that gives it orders. As "run" it serves a site of teaselgauge's own;
// as "runner" it stands beside a model runner of an operator's platform.
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
	site := command.ProcessCommand[settings.Agent]{
		Name:    "run",
		Usage:   "serve the backend server until SIGTERM",
		Load:    settings.LoadAgent,
		Host:    func(config settings.Agent) settings.Host { return config.Host },
		Log:     func(config settings.Agent) settings.Log { return config.Log },
		Process: runSite,
	}
	beside := command.ProcessCommand[settings.Runner]{
		Name:              "runner",
		Usage:             "serve a model runner of an operator's platform until SIGTERM",
		SettingsVariables: []string{platform.SettingsVariable},
		Load:              settings.LoadRunner,
		Host:              func(config settings.Runner) settings.Host { return config.Host },
		Log:               func(config settings.Runner) settings.Log { return config.Log },
		Process:           runRunner,
	}
	root := &cli.Command{
		Name:     "teaselgauge-agent",
		Usage:    "process beside one backend server of a teaselgauge site",
		Commands: append(command.AgentCommands(), site.Command(), beside.Command()),
	}
	os.Exit(command.Run(ctx, root, os.Args))
}

// runRunner connects the agent to the platform's adapter.
func runRunner(ctx context.Context, config settings.Runner, environment command.Environment[settings.Runner]) error {
	shown := telemetry.New(state.Identity{Program: "teaselgauge-agent", Version: environment.Version, HostID: config.Host.ID})
	defer shown.Close()
	counted := metrics.NewRunner(shown.Scope())
	store := platform.NewStore(config.Store.Address).WithObserver(counted.ObserveStore)
	defer store.Close()
	runner := platform.NewRunner(config.Runner)
	defer runner.Close()
	return runneragent.Run(ctx, config, runneragent.Dependencies{
		Store:      store,
		StaleStore: store.WithStaleReads(),
		Runner:     runner,
		Telemetry:  shown,
		Metrics:    counted,
	}, environment.Logger)
}

// runSite serves a site of teaselgauge's own, whose settings take effect at the
// start only.
func runSite(ctx context.Context, config settings.Agent, environment command.Environment[settings.Agent]) error {
	return agent.Run(ctx, config, environment.Version, environment.Logger)
}
