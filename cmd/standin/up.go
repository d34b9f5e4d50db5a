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
		return flags.run(cmd.Context(), func(live *simulator.Loopback) error {
			printInstructions(cmd.OutOrStdout(), live)
			<-cmd.Context().Done()
			return nil
		})
	}
	return c
}

// sampleTaskDuration is how long the task of the job in the example runs.
const sampleTaskDuration = 20 * time.Second

// printInstructions tells where everything is, and how to submit, ask for and cancel a job.
func printInstructions(out io.Writer, live *simulator.Loopback) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CONTROLLER\tUSERS AND WORKERS\tSTATE SERVICE\tCLOUD\tSETTINGS\tLOG")
	for _, k := range live.Controllers() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", k.Name(), k.PublicAddr(), k.StateAddr(), k.CloudAddr(), k.SettingsFile, k.LogFile)
	}
	_ = table.Flush() // to a terminal, as all that is printed
	job := simulator.SampleJob("run-000001", sampleTaskDuration)
	jobs := "http://" + live.Controllers()[0].PublicAddr() + protocol.PathJobs
	fmt.Fprintf(out, "\nAny controller takes jobs, for example:\n\n")
	fmt.Fprintf(out, "  curl -d '%s' %s\n", protocol.EncodeJob(&job), jobs)
	fmt.Fprintf(out, "  curl %s/%s\n", jobs, job.ID)
	fmt.Fprintf(out, "  curl -X POST %s/%s/cancel\n\n", jobs, job.ID)
	fmt.Fprintln(out, "Interrupt to end.")
}
