package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"brasskeel/internal/bookkeeping"
	"brasskeel/internal/config"
	"brasskeel/internal/coordination/shard"
	"brasskeel/internal/protocol"
)

// Bounds of reading who owns what.
const (
	shardsTimeout = 10 * time.Second
	shardsPage    = 500
	shardsBody    = 1 << 20 // of a page; the state service answers with half of it
)

func shardsCommand() *cobra.Command {
	c := &cobra.Command{Use: "shards", Short: "Show which controller serves which shard of the machines", Args: cobra.NoArgs}
	settings, operator := settingsFlags(c)
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		s, _, err := load(*settings, *operator)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), shardsTimeout)
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
func readShards(ctx context.Context, s *config.Settings) (*shard.Table, []error, error) {
	table, after := shard.NewTable(), ""
	var odd []error
	for {
		items, more, err := readPage(ctx, s.State, after)
		if err != nil {
			return nil, nil, fmt.Errorf("the state service: %w", err)
		}
		for _, it := range items {
			if err := table.Put(it.Key, it.Value, it.Version); err != nil {
				odd = append(odd, err)
			}
		}
		if !more || len(items) == 0 {
			return table, odd, nil
		}
		after = items[len(items)-1].Key
	}
}

func readPage(ctx context.Context, addr, after string) (items []protocol.Item, more bool, err error) {
	target := protocol.RangeTarget(bookkeeping.PrefixShards, after, shardsPage)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+target, nil)
	if err != nil {
		return nil, false, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, shardsBody))
	if err != nil {
		return nil, false, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("status %d", response.StatusCode)
	}
	items, more, _, err = protocol.ParseRange(body)
	return items, more, err
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
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", m.Node, m.Zone, len(table.OwnedBy(m.Member)), note)
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
	owner, next := r.Owner.Node, ""
	if !table.Alive(r.Owner.Member) {
		owner += " (ended)"
	}
	if r.Next != nil {
		next = r.Next.Node
	}
	return fmt.Sprintf("%d\t%s\t%d\t%s\t%d", id, owner, r.Owner.Term, next, r.Generation)
}
