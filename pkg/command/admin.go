package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/adminapi"
)

// Environment variables with the URL and the token of the administration API.
const (
	envAdminURL   = "TEASELGAUGE_ADMIN_URL"
	envAdminToken = "TEASELGAUGE_ADMIN_TOKEN"
)

// callTimeout limits the duration of one request to the administration API.
const callTimeout = 40 * time.Second

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// adminFlags returns the flags of commands that send requests to a running process.
func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:     "url",
			Required: true,
			Sources:  cli.EnvVars(envAdminURL),
			Usage:    "base URL of the administration API",
		},
		&cli.StringFlag{
			Name:  "token-file",
			Usage: "file with the administrator's token (default: the environment variable " + envAdminToken + ")",
		},
		&cli.StringFlag{
			Name:  "ca-file",
			Usage: "PEM file of the certificates to trust instead of the system's",
		},
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Value: outputTable,
		Usage: "output format, table or json",
		Validator: func(value string) error {
			if value == outputTable || value == outputJSON {
				return nil
			}
			return fmt.Errorf("%q is not allowed, must be table or json", value)
		},
	}
}

func newClient(c *cli.Command) (*adminapi.Client, error) {
	token, err := readToken(c.String("token-file"))
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if path := c.String("ca-file"); path != "" {
		roots, err := readRoots(path)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	return adminapi.NewClient(c.String("url"), token, client), nil
}

func readToken(path string) (string, error) {
	if path == "" {
		return os.Getenv(envAdminToken), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func readRoots(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ca-file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("ca-file: %s contains no PEM certificate", path)
	}
	return roots, nil
}

func printJSON(c *cli.Command, value any) error {
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:  "dump",
		Usage: "print the state of a running process as JSON",
		Flags: adminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			dump, err := client.Dump(ctx)
			if err != nil {
				return err
			}
			return printJSON(c, dump)
		},
	}
}
