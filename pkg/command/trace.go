package command

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/logtrace"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "collect a request's lines from the logs of several processes, with the state that the processes had",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Required: true, Usage: "the request's ID"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return usagef("at least one log file is required")
			}
			var logs [][]logtrace.Line
			for _, path := range c.Args().Slice() {
				lines, err := readLog(path)
				if err != nil {
					return err
				}
				logs = append(logs, lines)
			}
			trace := logtrace.Find(logs, c.String("request"))
			if len(trace.Lines) == 0 {
				return fmt.Errorf("no log line contains request %s; lines about responses are sampled", c.String("request"))
			}
			printTrace(c, trace)
			return nil
		},
	}
}

func readLog(path string) ([]logtrace.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines, err := logtrace.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return lines, nil
}

func printTrace(c *cli.Command, trace logtrace.Trace) {
	out := c.Root().Writer
	fmt.Fprintln(out, "log lines of the request:")
	for _, line := range trace.Lines {
		fmt.Fprintln(out, "  "+describeLine(&line, "request", "level"))
	}
	fmt.Fprintln(out, "state at its last line in each process:")
	for _, line := range trace.Views {
		fmt.Fprintln(out, "  "+describeLine(&line, "level"))
	}
}

// describeLine formats a line without empty attributes and the omitted ones.
func describeLine(line *logtrace.Line, omitted ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s:", line.Time.UTC().Format(time.RFC3339Nano), line.Host, line.Message)
	for _, attr := range line.Attrs {
		if slices.Contains(omitted, attr.Name) || attr.Value == "" {
			continue
		}
		value := attr.Value
		if strings.ContainsAny(value, " \"") {
			value = strconv.Quote(value)
		}
		fmt.Fprintf(&text, " %s=%s", attr.Name, value)
	}
	return text.String()
}
