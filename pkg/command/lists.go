package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/adminapi"
	"teaselgauge.example/teaselgauge/pkg/lists"
)

// listFileMode makes written lists private to the user, because they name customers.
const listFileMode = 0o600

func listsCommand() *cli.Command {
	return &cli.Command{
		Name:  "lists",
		Usage: "read, check and change the plans and the allowances",
		Commands: []*cli.Command{
			listsGetCommand(),
			listsPutCommand(),
			listsCheckCommand(),
		},
	}
}

func documentFlags(required bool) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "plans", Required: required, Usage: "JSON file of the plans"},
		&cli.StringFlag{Name: "allowances", Required: required, Usage: "JSON file of the allowances"},
	}
}

func listsGetCommand() *cli.Command {
	flags := append(adminFlags(), documentFlags(false)...)
	return &cli.Command{
		Name:  "get",
		Usage: "print the current lists, or write them to files",
		Flags: append(flags, outputFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			snapshot, err := client.GetLists(ctx)
			if err != nil {
				return err
			}
			if c.IsSet("plans") || c.IsSet("allowances") {
				return writeDocuments(c, snapshot)
			}
			if c.String("output") == outputJSON {
				return printJSON(c, snapshot)
			}
			return printLists(c, snapshot)
		},
	}
}

func writeDocuments(c *cli.Command, snapshot lists.Snapshot) error {
	if path := c.String("plans"); path != "" {
		if err := writeDocument(path, snapshot.Plans); err != nil {
			return err
		}
	}
	if path := c.String("allowances"); path != "" {
		if err := writeDocument(path, snapshot.Allowances); err != nil {
			return err
		}
	}
	fmt.Fprintf(c.Root().Writer, "revision %d\n", snapshot.Revision)
	return nil
}

func writeDocument(path string, document any) error {
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return fmt.Errorf("lists: encode: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), listFileMode); err != nil {
		return fmt.Errorf("lists: %w", err)
	}
	return nil
}

func listsPutCommand() *cli.Command {
	flags := append(adminFlags(), documentFlags(true)...)
	flags = append(
		flags,
		&cli.Int64Flag{Name: "revision", Usage: "the current revision, as printed by lists get"},
		&cli.BoolFlag{Name: "if-empty", Usage: "require that there are no lists yet"},
		outputFlag(),
	)
	return &cli.Command{
		Name:  "put",
		Usage: "replace both lists if the current revision matches",
		Flags: flags,
		Action: func(ctx context.Context, c *cli.Command) error {
			expected, err := expectedRevision(c)
			if err != nil {
				return err
			}
			plans, allowances, err := readDocuments(c)
			if err != nil {
				return err
			}
			client, err := newClient(c)
			if err != nil {
				return err
			}
			revision, err := client.PutLists(ctx, expected, plans, allowances)
			if err != nil {
				return err
			}
			if c.String("output") == outputJSON {
				return printJSON(c, adminapi.PutResult{Revision: revision})
			}
			fmt.Fprintf(c.Root().Writer, "accepted as revision %d\n", revision)
			return nil
		},
	}
}

func expectedRevision(c *cli.Command) (int64, error) {
	revision := c.Int64("revision")
	switch {
	case c.Bool("if-empty") == c.IsSet("revision"):
		return 0, usagef("one of --revision and --if-empty is required")
	case c.Bool("if-empty"):
		return 0, nil
	case revision < 1:
		return 0, usagef("--revision: %d is not allowed, must be at least 1", revision)
	default:
		return revision, nil
	}
}

func listsCheckCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check both lists without changing anything",
		Flags: append(documentFlags(true), outputFlag()),
		Action: func(_ context.Context, c *cli.Command) error {
			plans, allowances, err := readDocuments(c)
			if err != nil {
				return err
			}
			snapshot := lists.Snapshot{Plans: plans, Allowances: allowances}
			if c.String("output") == outputJSON {
				return printJSON(c, snapshot)
			}
			return printLists(c, snapshot)
		},
	}
}

func readDocuments(c *cli.Command) (lists.Plans, lists.Allowances, error) {
	plansJSON, err := os.ReadFile(c.String("plans"))
	if err != nil {
		return lists.Plans{}, lists.Allowances{}, fmt.Errorf("lists: %w", err)
	}
	allowancesJSON, err := os.ReadFile(c.String("allowances"))
	if err != nil {
		return lists.Plans{}, lists.Allowances{}, fmt.Errorf("lists: %w", err)
	}
	return lists.Parse(plansJSON, allowancesJSON)
}

// printLists prints a table of the plans and their allowances.
func printLists(c *cli.Command, snapshot lists.Snapshot) error {
	table := newTable(c)
	allowances := snapshot.Allowances
	if snapshot.Revision != 0 {
		fmt.Fprintf(table, "revision %d\n", snapshot.Revision)
	}
	fmt.Fprintf(table, "%d plans, %d models, %d adapters, %d services\n\n",
		len(snapshot.Plans.Plans), len(allowances.Models), len(allowances.Adapters), len(allowances.Services))
	index := lists.NewIndex(snapshot)
	fmt.Fprintln(table, "PLAN\tCUSTOMER\tWEIGHT\tMODELS\tADAPTERS\tSERVICES")
	for _, plan := range snapshot.Plans.Plans {
		allowance, _ := index.Allowance(plan.Name)
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", plan.Name, plan.Customer, plan.Weight,
			summary(allowance.Models), summary(allowance.Adapters), summary(allowance.Services))
	}
	return table.Flush()
}

// summary returns up to three names and the number of further ones.
func summary(names []string) string {
	const shown = 3
	if len(names) <= shown {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s, and %d more", strings.Join(names[:shown], ", "), len(names)-shown)
}
