// Command demo runs a whole site as processes on loopback addresses. "demo run"
// sends one request of each kind and checks the responses; "demo up" keeps the site
// running until it is interrupted.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/testkit/site"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "examples", Value: "examples", Usage: "directory of site.json, plans.json and allowances.json"},
	}
	return &cli.Command{
		Name:  "demo",
		Usage: "run a site on this machine",
		Commands: []*cli.Command{
			{Name: "run", Usage: "send one request of each kind and stop", Flags: flags, Action: withSite(runDemo, 0)},
			{Name: "up", Usage: "run until interrupted", Flags: flags, Action: withSite(runUp, upBasePort)},
		},
	}
}

// upBasePort is the first port of a site that "up" keeps running.
const upBasePort = 18080

// withSite builds the programs, starts the site described by the examples, runs the
// action and stops all processes, even if the action failed.
func withSite(action func(context.Context, *site.Site) error, basePort int) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) (err error) {
		options, err := readOptions(c.String("examples"), basePort)
		if err != nil {
			return err
		}
		fmt.Println("building the programs")
		binaries, err := site.Shared()
		defer site.CleanShared()
		if err != nil {
			return err
		}
		fmt.Printf("starting %d entries, %d runners and %d service hosts with their stand-ins\n",
			options.Entries, options.Runners, options.Services)
		s, err := site.Start(ctx, binaries, options)
		if err != nil {
			return err
		}
		defer func() {
			closeErr := s.Close()
			if err == nil {
				err = closeErr
			}
		}()
		return action(ctx, s)
	}
}

func readOptions(examples string, basePort int) (site.Options, error) {
	options, err := site.ReadOptions(filepath.Join(examples, "site.json"))
	if err != nil {
		return site.Options{}, err
	}
	options.BasePort = basePort
	options.PlansFile = filepath.Join(examples, "plans.json")
	options.AllowancesFile = filepath.Join(examples, "allowances.json")
	return options, nil
}
