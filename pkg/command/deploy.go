package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

// DeployCheck validates a deploy file in the repository at root. It calls check with
// the rendered settings of each command.
type DeployCheck func(root, path string, check func(command string, settings []byte) error) error

// CheckDeploy returns the command that validates the deploy file of an external
// platform without starting a process.
func CheckDeploy(check DeployCheck) *cli.Command {
	return &cli.Command{
		Name:  "check-deploy",
		Usage: "check a deploy file, its templates and the rendered settings",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deploy", Value: "deploy/system.toml", Usage: "the deploy file"},
			&cli.StringFlag{Name: "root", Value: ".", Usage: "the root of the repository, to which template paths are relative"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := check(c.String("root"), c.String("deploy"), checkDeployedSettings); err != nil {
				return &ValidationError{Err: err}
			}
			fmt.Fprintf(c.Root().Writer, "%s is valid\n", c.String("deploy"))
			return nil
		},
	}
}

func checkDeployedSettings(command string, data []byte) error {
	var err error
	switch command {
	case "gateway":
		_, err = settings.ParseGateway(data)
	case "runner":
		_, err = settings.ParseRunner(data)
	default:
		return fmt.Errorf("unknown command %q", command)
	}
	return err
}
