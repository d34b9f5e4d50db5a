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

// Errors of a run.
var (
	errExternalSyntax = errors.New("--external takes name=NAME,type=TYPE,zone=ZONE,endpoint=ADDRESS")
	errRulesBroken    = errors.New("rules were broken")
)

// capacityPerType is the number of machines that can be rented of each type, ordinary ones and
// spot ones.
const capacityPerType = 50

// startTimeout bounds how long controllers may take to be ready.
const startTimeout = 20 * time.Second

// clusterFlags shape the cluster of a command.
type clusterFlags struct {
	controllers, machines int
	binary, operator, dir string
	external              []string
}

func (f *clusterFlags) add(c *cobra.Command) {
	flags := c.Flags()
	flags.IntVar(&f.controllers, "controllers", 3, "number of controllers")
	flags.IntVar(&f.machines, "machines", 6, "number of simulated machines that run from the start")
	flags.StringVar(&f.binary, "binary", "target/brasskeel", "the controllers' program")
	flags.StringVar(&f.operator, "operator", "", "the operators' settings (JSON)")
	flags.StringVar(&f.dir, "dir", "", "where the controllers' settings and logs are kept (without it they are removed at the end)")
	flags.StringArrayVar(&f.external, "external", nil, "a machine that is not simulated, as name=NAME,type=TYPE,zone=ZONE,endpoint=ADDRESS")
}

// run starts a cluster, does something with it once it is ready, and ends it.
func (f *clusterFlags) run(ctx context.Context, do func(*simulator.Loopback) error) error {
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
	live, err := simulator.NewLoopback(options)
	if err != nil {
		return err
	}
	err = startControllers(ctx, live)
	if err == nil {
		err = do(live)
	}
	live.Close()
	if len(live.Violations()) > 0 { // each was logged
		return errors.Join(err, errRulesBroken)
	}
	return err
}

// startControllers starts the controllers and waits until they are ready.
func startControllers(ctx context.Context, live *simulator.Loopback) error {
	if err := live.StartControllers(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return live.AwaitReady(ctx)
}

func (f *clusterFlags) options() (simulator.LoopbackOptions, error) {
	o := simulator.LoopbackOptions{Binary: f.binary, OperatorFile: f.operator, Dir: f.dir,
		Options: simulator.Options{Controllers: f.controllers, Machines: f.machines, Capacity: capacityPerType, Log: os.Stderr}}
	if f.controllers < 1 || f.machines < 0 {
		return o, fmt.Errorf("%d controllers and %d machines are no cluster", f.controllers, f.machines)
	}
	for _, text := range f.external {
		m, err := parseExternal(text)
		if err != nil {
			return o, err
		}
		o.ExternalMachines = append(o.ExternalMachines, m)
	}
	return o, nil
}

// parseExternal reads the value of --external.
func parseExternal(text string) (m simulator.ExternalMachine, err error) {
	fields := map[string]*string{"name": &m.Name, "type": &m.Type, "zone": &m.Zone, "endpoint": &m.Endpoint}
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(part, "=")
		if fields[key] == nil || value == "" {
			return m, fmt.Errorf("%w, not %q", errExternalSyntax, text)
		}
		*fields[key] = value
	}
	return m, nil
}
