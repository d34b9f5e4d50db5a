package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

func shardsCommand() *cobra.Command {
	c := &cobra.Command{Use: "shards", Short: "Show which controller serves which shard of the machines", Args: cobra.NoArgs}
	settings, operator := settingsFlags(c)
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		s, _, err := loadSettings(*settings, *operator)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), stateTimeout)
		defer cancel()
		table, unreadable, err := readShards(ctx, s)
		if err != nil {
			return err
		}
		return showShards(cmd.OutOrStdout(), table, unreadable)
	}
	return c
}

// readShards reads the shard records from the state service. It returns a table of those that can
// be decoded, and an error for each of the others.
func readShards(ctx context.Context, s *config.Settings) (table *shard.Table, unreadable []error, err error) {
	table = shard.NewTable()
	err = readKeys(ctx, s, records.PrefixShards, func(kv protocol.KeyValue) {
		if err := table.Put(kv.Key, kv.Value, kv.Version); err != nil {
			unreadable = append(unreadable, err)
		}
	})
	return table, unreadable, err
}

// showShards prints the owner of each shard, the controllers that may own shards with a note on
// those that are draining, and the errors about unreadable records.
func showShards(w io.Writer, table *shard.Table, unreadable []error) error {
	out := &output{w: w}
	if table.Empty() {
		out.printf("no shards: the leader serves all machines\n")
	} else {
		out.table(func(rows *output) {
			rows.printf("SHARD\tOWNER\tTERM\tMOVES TO\tOWNERS SO FAR\n")
			for _, id := range table.IDs() {
				rows.printf("%s\n", formatShard(table, id))
			}
		})
	}
	out.table(func(rows *output) {
		rows.printf("\nCONTROLLER\tZONE\tSHARDS\t\n")
		for _, m := range table.Members() {
			note := ""
			if m.Draining {
				note = "drains"
			}
			rows.printf("%s\t%s\t%d\t%s\n", m.Name, m.Zone, len(table.OwnedBy(m.Member)), note)
		}
	})
	for _, err := range unreadable {
		out.printf("%v\n", err)
	}
	return out.err
}

// formatShard returns the table row of a shard.
func formatShard(table *shard.Table, id shard.ID) string {
	r, _, ok := table.Record(id)
	if !ok {
		return fmt.Sprintf("%d\tunreadable\t\t\t", id)
	}
	owner, next := r.Owner.Name, ""
	if !table.Alive(r.Owner.Member) {
		owner += " (ended)"
	}
	if r.Next != nil {
		next = r.Next.Name
	}
	return fmt.Sprintf("%d\t%s\t%d\t%s\t%d", id, owner, r.Owner.Term, next, r.Generation)
}
