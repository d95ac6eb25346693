// Command teaselgauge-entry runs on an entry host. The subcommand "run" serves
// callers and administrators of a teaselgauge site; "gateway" runs in front of
// the backend servers of an external platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/command"
	"teaselgauge.example/teaselgauge/pkg/entry"
	"teaselgauge.example/teaselgauge/pkg/gateway"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/state"
	"teaselgauge.example/teaselgauge/pkg/telemetry"
	"teaselgauge.example/teaselgauge/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	siteCommand := command.ProcessCommand[settings.Entry]{
		Name:    "run",
		Usage:   "serve callers and administrators until SIGTERM",
		Load:    settings.LoadEntry,
		Host:    func(config settings.Entry) settings.Host { return config.Host },
		Log:     func(config settings.Entry) settings.Log { return config.Log },
		Process: runSite,
	}
	gatewayCommand := command.ProcessCommand[settings.Gateway]{
		Name:              "gateway",
		Usage:             "serve an external platform until SIGTERM",
		SettingsVariables: []string{platform.SettingsVariable},
		Load:              settings.LoadGateway,
		Host:              func(config settings.Gateway) settings.Host { return config.Host },
		Log:               func(config settings.Gateway) settings.Log { return config.Log },
		Process:           runGateway,
	}
	root := &cli.Command{
		Name:     "teaselgauge-entry",
		Usage:    "entry process of teaselgauge",
		Commands: append(command.EntryCommands(), command.CheckDeploy(platform.CheckDeployFile), siteCommand.Command(), gatewayCommand.Command()),
	}
	os.Exit(command.Run(ctx, root, os.Args))
}

// siteWatchWait is the long-poll wait of watches on keys that teaselgauge's own
// processes write. Changes are delivered immediately; the wait only determines how
// often a watch without changes is renewed.
const siteWatchWait = 10 * time.Second

// registrationWatchWait is the long-poll wait of the watch on the registrations
// of backend servers. It bounds the time until an entry detects that it no longer
// receives them. Heartbeats of servers end most waits sooner.
const registrationWatchWait = 600 * time.Millisecond

// runGateway runs the gateway with the adapter of the external platform.
func runGateway(ctx context.Context, config settings.Gateway, environment command.Environment[settings.Gateway]) error {
	processTelemetry := telemetry.New(state.Identity{Program: "teaselgauge-entry", Version: environment.Version, HostID: config.Host.ID})
	defer processTelemetry.Close()
	gatewayMetrics := metrics.NewGateway(processTelemetry.Scope())
	store := platform.NewStore(config.Store.Address).WithObserver(gatewayMetrics.ObserveStore).WithEraObserver(command.LogStoreEra(environment.Logger))
	defer store.Close()
	return gateway.Run(ctx, config, gateway.Dependencies{
		Store:             store,
		RegistrationStore: store.WithWatchWait(registrationWatchWait),
		SiteStore:         store.WithWatchWait(siteWatchWait),
		StaleStore:        store.WithStaleReads(),
		Codec: gateway.Codec{
			ConfigurationKey:    platform.ConfigurationKey,
			RegistrationPrefix:  platform.RegistrationPrefix,
			DecodeConfiguration: platform.DecodeConfiguration,
			DecodeRegistration:  platform.DecodeRegistration,
		},
		HeaderCodec:   platform.HTTPCodec{},
		ReadinessPath: platform.ReadinessPath,
		Updates:       environment.Updates,
		Telemetry:     processTelemetry,
		Metrics:       gatewayMetrics,
	}, environment.Logger)
}

// runSite serves a teaselgauge site. Changes of the settings take effect on restart
// only.
func runSite(ctx context.Context, config settings.Entry, environment command.Environment[settings.Entry]) error {
	return entry.Run(ctx, config, environment.Version, environment.Logger)
}
