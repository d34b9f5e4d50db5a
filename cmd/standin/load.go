package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"brasskeel/internal/simulator"
)

func loadCommand() *cobra.Command {
	var flags clusterFlags
	var load simulator.Load
	var within time.Duration
	c := &cobra.Command{Use: "load", Short: "Run controllers under a stream of jobs and say how they did", Args: cobra.NoArgs}
	flags.add(c)
	c.Flags().IntVar(&load.Jobs, "jobs", 100, "number of jobs, of one task each")
	c.Flags().Float64Var(&load.Rate, "rate", 5, "jobs per second")
	c.Flags().DurationVar(&load.Run, "run", 2*time.Second, "how long a task runs")
	c.Flags().DurationVar(&within, "within", 5*time.Minute, "when all must be done")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		if load.Jobs < 1 || !(load.Rate > 0) || load.Run <= 0 {
			return fmt.Errorf("%d jobs of %s at %g per second are no load", load.Jobs, load.Run, load.Rate)
		}
		return flags.run(cmd.Context(), func(live *simulator.Loopback) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), within)
			defer cancel()
			summary, err := live.Load(ctx, load)
			summarize(cmd.OutOrStdout(), summary)
			return err
		})
	}
	return c
}

func summarize(out io.Writer, s simulator.LoadSummary) {
	fmt.Fprintf(out, "jobs      %d, accepted %d, done %d\n", s.Jobs, s.Accepted, s.Done)
	fmt.Fprintf(out, "accepted  p50 %s, p99 %s\n", rounded(s.Submit.P50), rounded(s.Submit.P99))
	fmt.Fprintf(out, "started   p50 %s, p99 %s\n", rounded(s.Start.P50), rounded(s.Start.P99))
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
