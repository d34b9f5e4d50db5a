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
	c := &cobra.Command{Use: "load", Short: "Run controllers under a stream of jobs and print completion counts and latencies", Args: cobra.NoArgs}
	flags.add(c)
	c.Flags().IntVar(&load.Jobs, "jobs", 100, "number of jobs, of one task each")
	c.Flags().Float64Var(&load.Rate, "rate", 5, "jobs per second")
	c.Flags().DurationVar(&load.RunTime, "run", 2*time.Second, "run time of a task")
	c.Flags().DurationVar(&within, "within", 5*time.Minute, "time limit for all jobs to be done")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		if load.Jobs < 1 || !(load.Rate > 0) || load.RunTime <= 0 {
			return fmt.Errorf("invalid load: %d jobs of %s at %g per second; all three must be positive", load.Jobs, load.RunTime, load.Rate)
		}
		return flags.run(cmd.Context(), func(cluster *simulator.Loopback) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), within)
			defer cancel()
			summary, err := cluster.RunLoad(ctx, load)
			printSummary(cmd.OutOrStdout(), summary)
			return err
		})
	}
	return c
}

func printSummary(out io.Writer, s simulator.LoadSummary) {
	fmt.Fprintf(out, "jobs      %d, accepted %d, done %d\n", s.Jobs, s.Accepted, s.Done)
	fmt.Fprintf(out, "accepted  p50 %s, p99 %s\n", roundToMillisecond(s.Submit.P50), roundToMillisecond(s.Submit.P99))
	fmt.Fprintf(out, "started   p50 %s, p99 %s\n", roundToMillisecond(s.Start.P50), roundToMillisecond(s.Start.P99))
}

func roundToMillisecond(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
