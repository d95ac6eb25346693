package command

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"teaselgauge.example/teaselgauge/pkg/gateway"
)

// gatewayState is the printed part of a gateway's state dump.
type gatewayState struct {
	Components struct {
		Gateway gateway.Dump `json:"gateway"`
	} `json:"components"`
}

func modelsCommand() *cli.Command {
	return &cli.Command{
		Name:  "models",
		Usage: "print the models, runners and plain servers of an external platform as a gateway sees them; --url is its metrics address",
		Flags: append(adminFlags(), outputFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			dump, err := client.Dump(ctx)
			if err != nil {
				return err
			}
			var state gatewayState
			if err := json.Unmarshal(dump, &state); err != nil {
				return fmt.Errorf("decode state: %w", err)
			}
			if c.String("output") == outputJSON {
				return printJSON(c, state.Components.Gateway)
			}
			return printModels(c, &state.Components.Gateway)
		},
	}
}

func printModels(c *cli.Command, state *gateway.Dump) error {
	table := newTable(c)
	fmt.Fprintf(table, "configuration %d, leader %s, %d entries, %d requests in flight\n",
		state.Configuration, state.Leader, state.Entries, state.InFlight)
	fmt.Fprintln(table, "\nMODEL\tPERMITTED\tKEPT\tLOADED\tLOADING\tIN MEMORY\tON DISK\tRUNNING\tWAITING\tPER S")
	for _, m := range state.Models {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\n", m.Model, m.Permitted, m.Kept, m.Loaded, m.Loading,
			m.InMemory, m.OnDisk, m.Running, m.Waiting, m.Interactive+m.Batch)
	}
	fmt.Fprintln(table, "\nSERVER\tSERVICE\tFAILURE DOMAIN\tSTATE\tRUNNING\tWAITING\tSLOTS\tAVOIDED")
	for _, s := range state.Servers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%t\n", s.ID, s.Service, s.FailureDomain, s.State, s.Running, s.Waiting, s.Slots, s.Avoided)
	}
	return table.Flush()
}
