package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// shutdownTimeout bounds how long a stopping backend server completes responses.
const shutdownTimeout = 10 * time.Second

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "backend server of the users' platform, which whoever starts it registers in the store",
		Flags: []cli.Flag{listenFlag(), &cli.StringFlag{Name: "options", Usage: "backendserver.Options in `JSON`"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runBackend(ctx, c.String("listen"), c.String("options"))
		},
	}
}

// crashStatus is the exit status of a server that a request has ended.
const crashStatus = 3

// logRecord writes a record to standard output, after a mark.
func logRecord(mark string, record any) {
	line, err := json.Marshal(record)
	if err != nil {
		slog.Error("record not logged", "error", err)
		return
	}
	fmt.Printf("%s%s\n", mark, line)
}

// runBackend serves requests until ctx ends, and then completes those that it has. It
// logs each request that it begins to process. With deadly requests, it also logs each
// that it receives, and exits at a deadly one.
func runBackend(ctx context.Context, address, encoded string) error {
	if err := checkLoopback(address); err != nil {
		return err
	}
	options := backendserver.Options{}
	if err := json.Unmarshal([]byte(encoded), &options); err != nil {
		return fmt.Errorf("--options: %w", err)
	}
	options.Unregistered = true
	options.OnRun = func(run backendserver.Run) { logRecord("", run) }
	if options.Deadly != nil {
		options.OnArrival = func(run backendserver.Run) { logRecord(backendserver.ArrivalMark, run) }
		var once sync.Once
		options.OnDeadly = func(crash backendserver.Crash) {
			once.Do(func() {
				logRecord(backendserver.CrashMark, crash)
				os.Exit(crashStatus)
			})
		}
	}
	server, err := backendserver.Start(address, nil, options)
	if err != nil {
		return err
	}
	<-ctx.Done()
	last, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return server.Shutdown(last)
}
