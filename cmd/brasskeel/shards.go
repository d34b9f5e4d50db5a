package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

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
		s, _, err := load(*settings, *operator)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), stateTimeout)
		defer cancel()
		table, odd, err := readShards(ctx, s)
		if err != nil {
			return err
		}
		showShards(cmd.OutOrStdout(), table, odd)
		return nil
	}
	return c
}

// readShards reads the records of shards from the state service, and what is wrong with those
// that can't be read.
func readShards(ctx context.Context, s *config.Settings) (table *shard.Table, odd []error, err error) {
	table = shard.NewTable()
	err = readKeys(ctx, s, records.PrefixShards, func(it protocol.KeyValue) {
		if err := table.Put(it.Key, it.Value, it.Version); err != nil {
			odd = append(odd, err)
		}
	})
	return table, odd, err
}

// showShards prints who owns what, and the controllers that may own shards.
func showShards(out io.Writer, table *shard.Table, odd []error) {
	if table.Empty() {
		fmt.Fprintln(out, "no shards: the leader serves all machines")
	} else {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "SHARD\tOWNER\tTERM\tMOVES TO\tOWNERS SO FAR")
		for _, id := range table.IDs() {
			fmt.Fprintln(w, shardLine(table, id))
		}
		w.Flush()
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nCONTROLLER\tZONE\tSHARDS\t")
	for _, m := range table.Members() {
		note := ""
		if m.Draining {
			note = "drains"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", m.Name, m.Zone, len(table.OwnedBy(m.Member)), note)
	}
	w.Flush()
	for _, err := range odd {
		fmt.Fprintln(out, err)
	}
}

func shardLine(table *shard.Table, id shard.ID) string {
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
