// Brasskeel is a cluster scheduler. Its controllers place the tasks of jobs on machines rented
// from a cloud.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"brasskeel/internal/config"
)

const version = "0.1.0"

func main() {
	root := &cobra.Command{
		Use:           "brasskeel",
		Short:         "A cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(controlCommand(), checkCommand(), shardsCommand(), balanceCommand(), versionCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "brasskeel:", err)
		os.Exit(1)
	}
}

// settingsFlags adds the flags for the paths of the settings files.
func settingsFlags(c *cobra.Command) (settings, operator *string) {
	settings = c.Flags().String("config", "", "the platform's settings file (TOML)")
	operator = c.Flags().String("operator", "", "the operators' settings file (JSON); default settings without it")
	if err := c.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	return settings, operator
}

func loadSettings(settings, operator string) (*config.Settings, config.Operator, error) {
	s, err := config.Load(settings)
	if err != nil {
		return nil, config.Operator{}, err
	}
	o, err := config.LoadOperator(operator)
	return s, o, err
}

func controlCommand() *cobra.Command {
	c := &cobra.Command{Use: "control", Short: "Run a controller", Args: cobra.NoArgs}
	settings, operator := settingsFlags(c)
	traceFile := c.Flags().String("trace", "", "the file to append traces of shard moves to, or - for standard error")
	c.RunE = func(*cobra.Command, []string) error {
		level, err := logLevel(os.Getenv("LOG_LEVEL"))
		if err != nil {
			return err
		}
		s, o, err := loadSettings(*settings, *operator)
		if err != nil {
			return err
		}
		trace, err := newTracer(*traceFile)
		if err != nil {
			return err
		}
		return runController(s, o, trace, level)
	}
	return c
}

func checkCommand() *cobra.Command {
	c := &cobra.Command{Use: "check", Short: "Check settings files", Args: cobra.NoArgs}
	settings, operator := settingsFlags(c)
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		s, _, err := loadSettings(*settings, *operator)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "settings of %s are good: %d other controllers, %d teams\n", s.Name, len(s.Peers), len(s.Teams))
		return err
	}
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "brasskeel", version)
			return err
		}}
}
