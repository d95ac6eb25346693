// Command standin runs one stand-in for an outside system on a loopback address. It
// prints "listening addr=IP:PORT" once it is ready.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/standin/hostlist"
	"teaselgauge.example/teaselgauge/testkit/standin/keyvalue"
	"teaselgauge.example/teaselgauge/testkit/standin/modelengine"
	"teaselgauge.example/teaselgauge/testkit/standin/plainservice"
	"teaselgauge.example/teaselgauge/testkit/standin/weightstore"
)

// readHeaderTimeout bounds the time until a request's headers are received.
const readHeaderTimeout = 10 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		slog.Error("stand-in failed", "error", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for an outside system",
		Commands: []*cli.Command{
			keyValueCommand(),
			weightStoreCommand(),
			engineCommand(),
			serviceCommand(),
			hostListCommand(),
			backendCommand(),
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "loopback address `IP:PORT`"}
}

func keyValueCommand() *cli.Command {
	return &cli.Command{
		Name:  "keyvalue",
		Usage: "key-value service",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			server := keyvalue.New()
			defer server.Close()
			return serve(ctx, c.String("listen"), server)
		},
	}
}

func weightStoreCommand() *cli.Command {
	defaults := weightstore.DefaultOptions()
	return &cli.Command{
		Name:  "weightstore",
		Usage: "rate-limited weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.Float64Flag{Name: "loads-per-second", Value: defaults.LoadsPerSecond},
			&cli.IntFlag{Name: "at-full-speed", Value: defaults.AtFullSpeed},
			&cli.DurationFlag{Name: "base-load", Value: defaults.BaseLoad},
			&cli.Float64Flag{Name: "mib-per-second", Usage: "speed of one load; 0: each load takes base-load"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), weightstore.New(weightstore.Options{
				LoadsPerSecond: c.Float64("loads-per-second"),
				AtFullSpeed:    c.Int("at-full-speed"),
				BaseLoad:       c.Duration("base-load"),
				MiBPerSecond:   c.Float64("mib-per-second"),
			}))
		},
	}
}

func engineCommand() *cli.Command {
	defaults := modelengine.DefaultOptions()
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.Int64Flag{Name: "memory-mib", Value: defaults.MemoryMiB},
			&cli.IntFlag{Name: "slots", Value: defaults.Slots},
			&cli.BoolFlag{Name: "check-fences", Usage: "refuse orders with an outdated fencing token"},
			&cli.DurationFlag{Name: "token-time", Value: defaults.TokenTime},
			&cli.DurationFlag{Name: "memory-load", Value: defaults.MemoryLoad},
			&cli.DurationFlag{Name: "disk-load", Value: defaults.DiskLoad},
			&cli.DurationFlag{Name: "remote-load", Value: defaults.RemoteLoad},
			&cli.DurationFlag{Name: "unload-time", Value: defaults.UnloadTime},
			&cli.StringFlag{Name: "weightstore", Usage: "base `URL` of the weight store"},
			&cli.IntFlag{Name: "memory-cached", Value: defaults.MemoryCached},
			&cli.StringSliceFlag{Name: "cached", Usage: "`MODEL@VERSION=TIER` cached at start"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, c *cli.Command) error {
	cached, err := parseCached(c.StringSlice("cached"))
	if err != nil {
		return err
	}
	server := modelengine.New(modelengine.Options{
		MemoryMiB:    c.Int64("memory-mib"),
		Slots:        c.Int("slots"),
		CheckFences:  c.Bool("check-fences"),
		TokenTime:    c.Duration("token-time"),
		MemoryLoad:   c.Duration("memory-load"),
		DiskLoad:     c.Duration("disk-load"),
		RemoteLoad:   c.Duration("remote-load"),
		UnloadTime:   c.Duration("unload-time"),
		WeightStore:  strings.TrimRight(c.String("weightstore"), "/"),
		MemoryCached: c.Int("memory-cached"),
		Cached:       cached,
	})
	defer server.Close()
	return serve(ctx, c.String("listen"), server)
}

func parseCached(values []string) (map[engine.Target]engine.CacheTier, error) {
	cached := map[engine.Target]engine.CacheTier{}
	for _, value := range values {
		name, tier, hasTier := strings.Cut(value, "=")
		model, version, hasVersion := strings.Cut(name, "@")
		if !hasTier || !hasVersion {
			return nil, fmt.Errorf("--cached %q: must be MODEL@VERSION=TIER", value)
		}
		switch engine.CacheTier(tier) {
		case engine.CacheDisk, engine.CacheMemory:
		default:
			return nil, fmt.Errorf("--cached %q: the tier must be disk or memory", value)
		}
		cached[engine.Target{Model: model, Version: version}] = engine.CacheTier(tier)
	}
	return cached, nil
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "plain service",
		Flags: []cli.Flag{listenFlag(), &cli.StringFlag{Name: "name", Value: "orders"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), plainservice.New(c.String("name")))
		},
	}
}

func hostListCommand() *cli.Command {
	return &cli.Command{
		Name:  "hostlist",
		Usage: "list of hosts",
		Flags: []cli.Flag{listenFlag(), &cli.DurationFlag{Name: "lag", Usage: "delay until a change is visible"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), hostlist.New(c.Duration("lag")))
		},
	}
}

// serve serves requests until ctx ends, and then closes all connections immediately.
func serve(ctx context.Context, address string, handler http.Handler) error {
	if err := checkLoopback(address); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Printf("listening addr=%s\n", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("--listen %s: must be a loopback address", address)
	}
	return nil
}
