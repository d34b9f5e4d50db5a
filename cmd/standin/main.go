// Standin runs controllers on one machine in real time, against a simulated state service,
// cloud and workers. It also runs experiments with generated loads in simulated time. It is meant
// for trying out and developing the project.
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
		Short:         "Run controllers on one machine against simulated services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(upCommand(), loadCommand(), experimentCommand())
	return root
}
