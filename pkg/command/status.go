package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/adminapi"
)

// tablePadding is the number of spaces between table columns.
const tablePadding = 2

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the state of models, runners and plans as an entry sees it",
		Flags: append(adminFlags(), outputFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if c.String("output") == outputJSON {
				return printJSON(c, status)
			}
			return printStatus(c, status)
		},
	}
}

func newTable(c *cli.Command) *tabwriter.Writer {
	return tabwriter.NewWriter(c.Root().Writer, 0, 0, tablePadding, ' ', 0)
}

func printStatus(c *cli.Command, status adminapi.Status) error {
	table := newTable(c)
	fmt.Fprintf(table, "host %s, lists revision %d\n", status.Host, status.ListsRevision)
	if rejected := status.ListsRejected; rejected != nil {
		fmt.Fprintf(table, "stored revision %d is not active: %s\n", rejected.Revision, rejected.Reason)
	}
	fmt.Fprintln(table, "\nMODEL\tVERSION\tPERMITTED\tLOADING\tLOADED\tQUEUED")
	for _, m := range status.Models {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\n", m.Model, m.Version, m.Permitted, m.Loading, m.Loaded, m.Queued)
	}
	fmt.Fprintln(table, "\nRUNNER\tFAILURE DOMAIN\tSTATE\tRUNNING\tQUEUED\tFREE MIB\tMIB")
	for _, r := range status.Runners {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n",
			r.Host, r.FailureDomain, runnerState(r), r.Running, r.Queued, r.FreeMemoryMiB, r.MemoryMiB)
	}
	fmt.Fprintln(table, "\nPLAN\tRUNNING\tANSWERED\tREFUSED")
	for _, p := range status.Plans {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", p.Plan, p.Running, p.Answered, p.Refused)
	}
	return table.Flush()
}

func runnerState(runner adminapi.RunnerStatus) string {
	switch {
	case runner.Leaving:
		return "leaving"
	case !runner.Reachable:
		return "unreachable"
	default:
		return "live"
	}
}
