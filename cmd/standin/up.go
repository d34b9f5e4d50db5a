package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"brasskeel/internal/protocol"
	"brasskeel/internal/simulator"
)

func upCommand() *cobra.Command {
	var flags clusterFlags
	c := &cobra.Command{Use: "up", Short: "Run controllers until interrupted", Args: cobra.NoArgs}
	flags.add(c)
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		return flags.run(cmd.Context(), func(cluster *simulator.Loopback) error {
			printInstructions(cmd.OutOrStdout(), cluster)
			<-cmd.Context().Done()
			return nil
		})
	}
	return c
}

// sampleTaskDuration is the run time of the task in the printed example job.
const sampleTaskDuration = 20 * time.Second

// printInstructions prints the addresses and files of the controllers, and example commands that
// submit, query and cancel a job.
func printInstructions(out io.Writer, cluster *simulator.Loopback) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CONTROLLER\tUSERS AND WORKERS\tSTATE SERVICE\tCLOUD\tSETTINGS\tLOG")
	for _, controller := range cluster.Controllers() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", controller.Name(), controller.PublicAddr(), controller.StateAddr(),
			controller.CloudAddr(), controller.SettingsFile, controller.LogFile)
	}
	_ = table.Flush() // output for a terminal: write errors are ignored
	job := simulator.SampleJob("run-000001", sampleTaskDuration)
	jobsURL := "http://" + cluster.Controllers()[0].PublicAddr() + protocol.PathJobs
	fmt.Fprintf(out, "\nAny controller takes jobs, for example:\n\n")
	fmt.Fprintf(out, "  curl -d '%s' %s\n", protocol.EncodeJob(&job), jobsURL)
	fmt.Fprintf(out, "  curl %s/%s\n", jobsURL, job.ID)
	fmt.Fprintf(out, "  curl -X POST %s/%s/cancel\n\n", jobsURL, job.ID)
	fmt.Fprintln(out, "Interrupt to end.")
}
