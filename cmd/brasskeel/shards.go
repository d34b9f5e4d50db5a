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

// readShards reads the records of shards from the state service, and what is wrong with those
// that can't be read.
func readShards(ctx context.Context, s *config.Settings) (table *shard.Table, unreadable []error, err error) {
	table = shard.NewTable()
	err = readKeys(ctx, s, records.PrefixShards, func(it protocol.KeyValue) {
		if err := table.Put(it.Key, it.Value, it.Version); err != nil {
			unreadable = append(unreadable, err)
		}
	})
	return table, unreadable, err
}

// showShards prints who owns what, and the controllers that may own shards.
func showShards(to io.Writer, table *shard.Table, unreadable []error) error {
	out := &output{w: to}
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
