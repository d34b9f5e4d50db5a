// Standin runs controllers on one machine against a simulated state service, cloud and
// workers, in real time. It is for trying the project and for its development.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Controllers on one machine, against simulated services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(upCommand(), loadCommand(), experimentCommand())
	return root
}
