// Command teaselgauge-entry runs on an entry host. As "run" it answers callers
// and administrators of a site of teaselgauge's own; as "gateway" it stands
// before the backend servers of an operator's platform.
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
	site := command.Serve[settings.Entry]{
		Name:    "run",
		Usage:   "serve callers and administrators until SIGTERM",
		Load:    settings.LoadEntry,
		Host:    func(config settings.Entry) settings.Host { return config.Host },
		Log:     func(config settings.Entry) settings.Log { return config.Log },
		Process: runSite,
	}
	before := command.Serve[settings.Gateway]{
		Name:              "gateway",
		Usage:             "serve an operator's platform until SIGTERM",
		SettingsVariables: []string{platform.SettingsVariable},
		Load:              settings.LoadGateway,
		Host:              func(config settings.Gateway) settings.Host { return config.Host },
		Log:               func(config settings.Gateway) settings.Log { return config.Log },
		Process:           runGateway,
	}
	root := &cli.Command{
		Name:     "teaselgauge-entry",
		Usage:    "entry host of teaselgauge",
		Commands: append(command.EntryCommands(), command.CheckDeploy(platform.CheckDeployFile), site.Command(), before.Command()),
	}
	os.Exit(command.Run(ctx, root, os.Args))
}

// siteWatchWait is how long the store holds back a watch of what teaselgauge's
// own processes write there. They hear of changes at once; the wait only bounds
// how often a watch without news is renewed.
const siteWatchWait = 10 * time.Second

// registrationWatchWait is how long the store holds back a watch of the backend
// servers' registrations. It bounds the time after which an entry sees that it no
// longer hears of them.
const registrationWatchWait = 1200 * time.Millisecond

// runGateway connects the gateway to the platform's adapter.
func runGateway(ctx context.Context, config settings.Gateway, environment command.Environment[settings.Gateway]) error {
	shown := telemetry.New(state.Identity{Program: "teaselgauge-entry", Version: environment.Version, HostID: config.Host.ID})
	defer shown.Close()
	counted := metrics.NewGateway(shown.Scope())
	store := platform.NewStore(config.Store.Address).WithObserver(counted.ObserveStore)
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
		HeaderCodec:   platform.Callers{},
		ReadinessPath: platform.ReadinessPath,
		Updates:       environment.Updates,
		Telemetry:     shown,
		Metrics:       counted,
	}, environment.Logger)
}

// runSite serves a site of teaselgauge's own, whose settings take effect at the
// start only.
func runSite(ctx context.Context, config settings.Entry, environment command.Environment[settings.Entry]) error {
	return entry.Run(ctx, config, environment.Version, environment.Logger)
}
