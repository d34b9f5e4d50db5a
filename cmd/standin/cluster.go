package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"brasskeel/internal/simulator"
)

var (
	errExternalSyntax = errors.New("--external must have the form name=NAME,type=TYPE,zone=ZONE,endpoint=ADDRESS")
	errRulesBroken    = errors.New("rules were violated, see \"rule broken\" in the log")
)

// cloudCapacity is the number of on-demand machines, and also of spot machines, that can run at once
// in the simulated cloud per machine type and zone.
const cloudCapacity = 50

// startTimeout is how long the controllers may take to become ready.
const startTimeout = 20 * time.Second

// clusterFlags are the flags that describe the cluster, common to the up and load commands.
type clusterFlags struct {
	controllers, machines int
	binary, operator, dir string
	external              []string
}

// add defines the flags on a command.
func (f *clusterFlags) add(c *cobra.Command) {
	flags := c.Flags()
	flags.IntVar(&f.controllers, "controllers", 3, "number of controllers")
	flags.IntVar(&f.machines, "machines", 6, "number of simulated machines that are running at the start")
	flags.StringVar(&f.binary, "binary", "target/brasskeel", "path of the controller binary")
	flags.StringVar(&f.operator, "operator", "", "path of the operator settings file (JSON); without it the defaults apply")
	flags.StringVar(&f.dir, "dir", "", "directory for the controllers' settings and logs; without it they go to a temporary directory that is removed at the end")
	flags.StringArrayVar(&f.external, "external", nil, "a machine whose worker is a real process, as name=NAME,type=TYPE,zone=ZONE,endpoint=ADDRESS; may be repeated")
}

// run starts a cluster, calls action once it is ready, and shuts the cluster down. If the cluster
// recorded any violation of an invariant, the error includes errRulesBroken.
func (f *clusterFlags) run(ctx context.Context, action func(*simulator.Loopback) error) error {
	options, err := f.options()
	if err != nil {
		return err
	}
	if options.Dir == "" {
		if options.Dir, err = os.MkdirTemp("", "brasskeel-standin-"); err != nil {
			return err
		}
		defer os.RemoveAll(options.Dir)
	} else if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return err
	}
	cluster, err := simulator.NewLoopback(options)
	if err != nil {
		return err
	}
	err = startControllers(ctx, cluster)
	if err == nil {
		err = action(cluster)
	}
	cluster.Close()
	if len(cluster.Violations()) > 0 { // the simulator logs each broken rule
		return errors.Join(err, errRulesBroken)
	}
	return err
}

// startControllers starts the controllers and waits until they are ready.
func startControllers(ctx context.Context, cluster *simulator.Loopback) error {
	if err := cluster.StartControllers(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return cluster.AwaitReady(ctx)
}

// options checks the flags and converts them to the simulator's options.
func (f *clusterFlags) options() (simulator.LoopbackOptions, error) {
	o := simulator.LoopbackOptions{Binary: f.binary, OperatorFile: f.operator, Dir: f.dir,
		Options: simulator.Options{Controllers: f.controllers, Machines: f.machines, Capacity: cloudCapacity, Log: os.Stderr}}
	if f.controllers < 1 || f.machines < 0 {
		return o, fmt.Errorf("invalid cluster: %d controllers and %d machines; at least one controller is needed and no negative number of machines", f.controllers, f.machines)
	}
	for _, value := range f.external {
		m, err := parseExternal(value)
		if err != nil {
			return o, err
		}
		o.ExternalMachines = append(o.ExternalMachines, m)
	}
	return o, nil
}

// parseExternal parses a value of the --external flag.
func parseExternal(value string) (m simulator.ExternalMachine, err error) {
	fields := map[string]*string{"name": &m.Name, "type": &m.Type, "zone": &m.Zone, "endpoint": &m.Endpoint}
	for part := range strings.SplitSeq(value, ",") {
		key, fieldValue, _ := strings.Cut(part, "=")
		if fields[key] == nil || fieldValue == "" {
			return m, fmt.Errorf("%w, got %q", errExternalSyntax, value)
		}
		*fields[key] = fieldValue
	}
	return m, nil
}
