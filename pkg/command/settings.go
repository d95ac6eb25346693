package command

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

// SettingsFlag returns the flag for the path of the settings file. The path can
// also be given in TEASELGAUGE_SETTINGS or the given environment variables.
func SettingsFlag(variables ...string) cli.Flag {
	return &cli.StringFlag{
		Name:     "settings",
		Required: true,
		Sources:  cli.EnvVars(append([]string{"TEASELGAUGE_SETTINGS"}, variables...)...),
		Usage:    "JSON file of the process's settings",
	}
}

// loadSettings loads and validates a settings file.
type loadSettings func(path string) (any, error)

// defaultCommand is the command whose settings are validated by default.
const defaultCommand = "run"

// checkSettingsCommand validates settings files of the commands that run a process.
func checkSettingsCommand(loads map[string]loadSettings) *cli.Command {
	commands := slices.Sorted(maps.Keys(loads))
	return &cli.Command{
		Name:  "check-settings",
		Usage: "check a settings file without starting and print it with the defaults filled in",
		Flags: []cli.Flag{
			SettingsFlag(),
			&cli.StringFlag{
				Name:  "for",
				Value: defaultCommand,
				Usage: "the command that the settings are for: " + strings.Join(commands, " or "),
				Validator: func(name string) error {
					if loads[name] == nil {
						return fmt.Errorf("%q is not allowed, must be %s", name, strings.Join(commands, " or "))
					}
					return nil
				},
			},
			outputFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			loaded, err := loads[c.String("for")](c.String("settings"))
			var schemaErr *schema.Error
			if errors.As(err, &schemaErr) {
				return &ValidationError{Err: err}
			}
			if err != nil {
				return err
			}
			if c.String("output") == outputJSON {
				return printJSON(c, loaded)
			}
			fmt.Fprintf(c.Root().Writer, "%s is valid\n", c.String("settings"))
			return nil
		},
	}
}
