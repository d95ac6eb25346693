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

// Environment is what a process gets beside its settings.
type Environment[T any] struct {
	Version string
	Logger  *slog.Logger
	// Updates brings changed settings. The log's level is applied already.
	Updates <-chan T
}

// Process is what a binary runs until its context ends.
type Process[T any] func(ctx context.Context, config T, environment Environment[T]) error

// Serve describes a subcommand that runs a process.
type Serve[T any] struct {
	Name  string
	Usage string
	// SettingsVariables name environment variables with the path of the settings
	// file, beside the product's own.
	SettingsVariables []string
	Load              func(path string) (T, error)
	// Host picks the host's settings; each log line bears its ID.
	Host func(T) settings.Host
	// Log picks the settings of the logger.
	Log     func(T) settings.Log
	Process Process[T]
}

// Command returns the subcommand, which loads the settings and runs the process
// until SIGTERM. SIGHUP, or a change of the file, has the settings read again.
func (s Serve[T]) Command() *cli.Command {
	return &cli.Command{
		Name:   s.Name,
		Usage:  s.Usage,
		Flags:  []cli.Flag{SettingsFlag(s.SettingsVariables...)},
		Action: s.run,
	}
}

func (s Serve[T]) run(ctx context.Context, cmd *cli.Command) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path := cmd.String("settings")
	content, err := os.ReadFile(path)
	if err != nil {
		return &RefusedError{Err: fmt.Errorf("settings: %w", err)}
	}
	config, err := s.Load(path)
	if err != nil {
		return &RefusedError{Err: err}
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
	follower := &settings.Follower[T]{
		Path:    path,
		Content: content,
		Load:    s.Load,
		Signals: hangups,
		Changed: func(changed T) { s.reload(changed, level, logger, updates) },
		Unchanged: func() {
			logger.Info("settings read again, nothing has changed", "file", path)
		},
		Failed: func(err error) {
			logger.Error("settings unusable, the last ones stay in force", "file", path, "error", err)
		},
	}
	followCtx, stop := context.WithCancel(ctx)
	defer stop()
	go follower.Run(followCtx)
	logger.Info("starting", "program", cmd.Root().Name, "version", Version(), "settings", path)
	return s.Process(ctx, config, Environment[T]{Version: Version(), Logger: logger, Updates: updates})
}

// reload applies the log's level and hands the settings over. A process that has
// not taken the last ones gets the newest only.
func (s Serve[T]) reload(changed T, level *slog.LevelVar, logger *slog.Logger, updates chan T) {
	if err := logging.SetLevel(level, s.Log(changed)); err != nil {
		logger.Error("log level unusable", "error", err)
	}
	logger.Info("settings changed")
	select {
	case <-updates:
	default:
	}
	updates <- changed
}
