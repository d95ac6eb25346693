package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/schema"
)

const (
	day = 24 * time.Hour
	// defaultAuthorityDays and defaultHostDays are certificate validities.
	defaultAuthorityDays = 3650
	defaultHostDays      = 825
	defaultAuthorityName = "ca"
	// maxKeyBytes limits an API key read from standard input.
	maxKeyBytes = 4096
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "create certificates and API keys",
		Commands: []*cli.Command{
			keysAuthorityCommand(),
			keysHostCommand(),
			keysShowCommand(),
			keysAPIKeyCommand(),
			keysHashCommand(),
		},
	}
}

func dirFlag() cli.Flag {
	return &cli.StringFlag{Name: "dir", Value: ".", Usage: "directory of the key files"}
}

func keysAuthorityCommand() *cli.Command {
	return &cli.Command{
		Name:  "ca",
		Usage: "create a site's certificate authority, NAME.crt and NAME.key",
		Flags: []cli.Flag{
			dirFlag(),
			&cli.StringFlag{Name: "name", Value: defaultAuthorityName, Usage: "name of the authority and its files"},
			&cli.IntFlag{Name: "days", Value: defaultAuthorityDays, Usage: "validity in days"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := checkKeyFlags(c, "name"); err != nil {
				return err
			}
			name := c.String("name")
			pair, err := keys.NewAuthority("teaselgauge "+name, time.Now(), validity(c))
			if err != nil {
				return err
			}
			return writePair(c, pair, name)
		},
	}
}

func keysHostCommand() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "issue a host's certificate, HOST.crt and HOST.key",
		Flags: []cli.Flag{
			dirFlag(),
			&cli.StringFlag{Name: "ca", Value: defaultAuthorityName, Usage: "name of the authority"},
			&cli.StringFlag{Name: "ca-dir", Usage: "directory of the authority's files (default: --dir)"},
			&cli.StringFlag{Name: "id", Required: true, Usage: "the host's ID, as in its settings and the host list"},
			&cli.StringFlag{Name: "role", Required: true, Usage: "entry or agent"},
			&cli.IntFlag{Name: "days", Value: defaultHostDays, Usage: "validity in days"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := checkKeyFlags(c, "id"); err != nil {
				return err
			}
			dir := c.String("ca-dir")
			if dir == "" {
				dir = c.String("dir")
			}
			authority, err := keys.ReadPair(dir, c.String("ca"))
			if err != nil {
				return err
			}
			pair, err := keys.IssueHost(authority, c.String("id"), c.String("role"), time.Now(), validity(c))
			if errors.Is(err, keys.ErrRole) {
				return &UsageError{Err: err}
			}
			if err != nil {
				return err
			}
			return writePair(c, pair, c.String("id"))
		},
	}
}

// checkKeyFlags rejects names that are not identifiers and validities below one day.
func checkKeyFlags(c *cli.Command, nameFlag string) error {
	name := c.String(nameFlag)
	if !schema.IsIdentifier(name) {
		return usagef("--%s: %q is not an identifier", nameFlag, name)
	}
	if c.Int("days") < 1 {
		return usagef("--days: %d is not allowed, must be at least 1", c.Int("days"))
	}
	return nil
}

func validity(c *cli.Command) time.Duration {
	return time.Duration(c.Int("days")) * day
}

func writePair(c *cli.Command, pair keys.Pair, name string) error {
	dir := c.String("dir")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if err := pair.Write(dir, name); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, keys.CertPath(dir, name))
	fmt.Fprintln(c.Root().Writer, keys.KeyPath(dir, name))
	return nil
}

func keysShowCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the owner and validity of certificates",
		Flags: []cli.Flag{&cli.StringFlag{Name: "cert", Required: true, Usage: "PEM file of one or more certificates"}},
		Action: func(_ context.Context, c *cli.Command) error {
			descriptions, err := keys.Describe(c.String("cert"))
			if err != nil {
				return err
			}
			table := newTable(c)
			fmt.Fprintln(table, "NAME\tROLE\tISSUER\tEXPIRES")
			for _, d := range descriptions {
				fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", d.Name, d.Role, d.Issuer, d.Expires.UTC().Format(time.RFC3339))
			}
			return table.Flush()
		},
	}
}

func keysAPIKeyCommand() *cli.Command {
	return &cli.Command{
		Name:  "api-key",
		Usage: "create an API key for a caller or an administrator and print it with its hash",
		Action: func(_ context.Context, c *cli.Command) error {
			key := keys.NewAPIKey()
			fmt.Fprintf(c.Root().Writer, "key:  %s\nhash: %s\n", key, keys.HashAPIKey(key))
			return nil
		},
	}
}

func keysHashCommand() *cli.Command {
	return &cli.Command{
		Name:  "hash",
		Usage: "read a key from standard input and print its hash",
		Action: func(_ context.Context, c *cli.Command) error {
			data, err := io.ReadAll(io.LimitReader(c.Root().Reader, maxKeyBytes))
			if err != nil {
				return fmt.Errorf("keys: %w", err)
			}
			key := strings.TrimSpace(string(data))
			if key == "" {
				return usagef("no key on standard input")
			}
			fmt.Fprintln(c.Root().Writer, keys.HashAPIKey(key))
			return nil
		},
	}
}
