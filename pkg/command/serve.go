package command

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

// Environment is what a process gets in addition to its settings.
type Environment[T any] struct {
	Version string
	Logger  *slog.Logger
	// Updates delivers changed settings. A changed log level is already applied.
	Updates <-chan T
}

// Process runs until its context ends.
type Process[T any] func(ctx context.Context, config T, environment Environment[T]) error

// ProcessCommand describes a subcommand that runs a process.
type ProcessCommand[T any] struct {
	Name  string
	Usage string
	// SettingsVariables are additional environment variables for the path of the
	// settings file.
	SettingsVariables []string
	Load              func(path string) (T, error)
	// Host returns the host settings. Every log line contains the host's ID.
	Host func(T) settings.Host
	// Log returns the logger settings.
	Log     func(T) settings.Log
	Process Process[T]
}

// Command returns the subcommand. It loads the settings and runs the process until
// SIGTERM. It reloads the settings on SIGHUP and when the file changes.
func (s ProcessCommand[T]) Command() *cli.Command {
	return &cli.Command{
		Name:   s.Name,
		Usage:  s.Usage,
		Flags:  []cli.Flag{SettingsFlag(s.SettingsVariables...)},
		Action: s.run,
	}
}

func (s ProcessCommand[T]) run(ctx context.Context, cmd *cli.Command) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path := cmd.String("settings")
	content, err := os.ReadFile(path)
	if err != nil {
		return &ValidationError{Err: fmt.Errorf("settings: %w", err)}
	}
	config, err := s.Load(path)
	if err != nil {
		return &ValidationError{Err: err}
	}
	output := logging.NewAsyncWriter(os.Stdout)
	defer output.Close()
	logger, level, err := logging.New(output, s.Log(config))
	if err != nil {
		return fmt.Errorf("log settings: %w", err)
	}
	logger = logger.With("host", s.Host(config).ID)
	slog.SetDefault(logger)
	updates := make(chan T, 1)
	watcher := &settings.FileWatcher[T]{
		Path:    path,
		Content: content,
		Load:    s.Load,
		Signals: hangups,
		Changed: func(changed T) { s.applySettings(changed, level, logger, updates) },
		Unchanged: func() {
			logger.Info("settings reloaded, no changes", "file", path)
		},
		Failed: func(err error) {
			logger.Error("settings invalid, keeping the last valid ones", "file", path, "error", err)
		},
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go watcher.Run(watchCtx)
	logger.Info("starting", "program", cmd.Root().Name, "version", Version(), "settings", path)
	return s.Process(ctx, config, Environment[T]{Version: Version(), Logger: logger, Updates: updates})
}

// applySettings applies the log level and delivers the settings. If the process
// has not received the previous update yet, it is replaced by the new one.
func (s ProcessCommand[T]) applySettings(changed T, level *slog.LevelVar, logger *slog.Logger, updates chan T) {
	if err := logging.SetLevel(level, s.Log(changed)); err != nil {
		logger.Error("log level invalid", "error", err)
	}
	logger.Info("settings changed")
	select {
	case <-updates:
	default:
	}
	updates <- changed
}
