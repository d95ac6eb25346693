package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/settings"
)

// DeployCheck checks a deploy file below the root of a repository. check is asked
// of the settings that come out for each command.
type DeployCheck func(root, path string, check func(command string, settings []byte) error) error

// CheckDeploy returns the command that checks the deploy file of an operator's
// platform without starting anything.
func CheckDeploy(check DeployCheck) *cli.Command {
	return &cli.Command{
		Name:  "check-deploy",
		Usage: "check a deploy file, its templates and the settings that come out",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deploy", Value: "deploy/system.toml", Usage: "the deploy file"},
			&cli.StringFlag{Name: "root", Value: ".", Usage: "the root of the repository, where templates are found"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := check(c.String("root"), c.String("deploy"), checkDeployedSettings); err != nil {
				return &RefusedError{Err: err}
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
		return fmt.Errorf("no command is named %q", command)
	}
	return err
}
