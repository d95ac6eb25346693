package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/schema"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

// SettingsFlag returns the flag that names the settings file. Environment
// variables may name it, too.
func SettingsFlag(variables ...string) cli.Flag {
	return &cli.StringFlag{
		Name:     "settings",
		Required: true,
		Sources:  cli.EnvVars(append([]string{"TEASELGAUGE_SETTINGS"}, variables...)...),
		Usage:    "JSON file of the process's settings",
	}
}

func checkEntrySettingsCommand() *cli.Command {
	return checkSettingsCommand(func(path string) (any, error) { return settings.LoadEntry(path) })
}

func checkAgentSettingsCommand() *cli.Command {
	return checkSettingsCommand(func(path string) (any, error) { return settings.LoadAgent(path) })
}

func checkSettingsCommand(load func(path string) (any, error)) *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "check a settings file without starting and print it with the defaults filled in",
		Flags: []cli.Flag{SettingsFlag(), outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			loaded, err := load(c.String("settings"))
			var schemaErr *schema.Error
			if errors.As(err, &schemaErr) {
				return &RefusedError{Err: err}
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
