// Package command implements the subcommands of both binaries. The process itself is
// passed in by each binary.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1 // anything else
	ExitUsage    = 2 // wrong flags or arguments
	ExitConflict = 3 // the lists have a different revision
	ExitInvalid  = 4 // invalid settings or lists
)

// UsageError is an invalid use of the command line.
type UsageError struct{ Err error }

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// ValidationError indicates an invalid document.
type ValidationError struct{ Err error }

// Error implements error.
func (e *ValidationError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ValidationError) Unwrap() error { return e.Err }

func usagef(format string, args ...any) error {
	return &UsageError{Err: fmt.Errorf(format, args...)}
}

// EntryCommands returns the subcommands of teaselgauge-entry.
func EntryCommands() []*cli.Command {
	return []*cli.Command{
		keysCommand(),
		listsCommand(),
		checkSettingsCommand(map[string]loadSettings{
			"run":     func(path string) (any, error) { return settings.LoadEntry(path) },
			"gateway": func(path string) (any, error) { return settings.LoadGateway(path) },
		}),
		statusCommand(),
		modelsCommand(),
		dumpCommand(),
		traceCommand(),
		versionCommand(),
	}
}

// AgentCommands returns the subcommands of teaselgauge-agent.
func AgentCommands() []*cli.Command {
	return []*cli.Command{
		checkSettingsCommand(map[string]loadSettings{
			"run":    func(path string) (any, error) { return settings.LoadAgent(path) },
			"runner": func(path string) (any, error) { return settings.LoadRunner(path) },
		}),
		dumpCommand(),
		versionCommand(),
	}
}

// Run runs a binary's command line, prints an error to the root's ErrWriter and
// returns the exit code.
func Run(ctx context.Context, root *cli.Command, args []string) int {
	returnErrors(root)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(root.ErrWriter, "%s: %v\n", root.Name, err)
	return exitCode(err)
}

// returnErrors makes all commands return their errors, so that only Run prints
// them and determines the exit code.
func returnErrors(root *cli.Command) {
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	root.HideVersion = true
	if root.ErrWriter == nil {
		root.ErrWriter = cli.ErrWriter
	}
	initCommand(root)
}

func initCommand(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Err: err}
	}
	if command.Action == nil {
		command.Action = requireSubcommand
	}
	for _, sub := range command.Commands {
		initCommand(sub)
	}
}

// requireSubcommand is the action of commands that only have subcommands.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("unknown command %q, see --help", c.Args().First())
	}
	return usagef("a command is required, see --help")
}

func exitCode(err error) int {
	var usage *UsageError
	var conflict *lists.ConflictError
	var check *lists.CheckError
	var invalid *ValidationError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &check), errors.As(err, &invalid):
		return ExitInvalid
	default:
		return ExitFailure
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			printVersion(c.Root().Writer)
			return nil
		},
	}
}

// Version returns the module's version, or the commit of a development build.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && info.Main.Version == "(devel)" {
			return setting.Value
		}
	}
	return info.Main.Version
}

func printVersion(w io.Writer) {
	info, _ := debug.ReadBuildInfo()
	goVersion := "unknown"
	if info != nil {
		goVersion = info.GoVersion
	}
	fmt.Fprintf(w, "teaselgauge %s %s\n", Version(), goVersion)
}
