package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"brasskeel/internal/config"
	"brasskeel/internal/coordination/balance"
	"brasskeel/internal/coordination/placement"
	"brasskeel/internal/protocol"
	"brasskeel/internal/records"
)

// defaultTop is how many machines are listed without --top.
const defaultTop = 10

func balanceCommand() *cobra.Command {
	c := &cobra.Command{Use: "balance", Short: "Show the load of machines by team, and which teams surge", Args: cobra.NoArgs}
	settings, operator := settingsFlags(c)
	top := c.Flags().Int("top", defaultTop, "how many of the most loaded machines to list")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		s, _, err := loadSettings(*settings, *operator)
		if err != nil {
			return err
		}
		if *top < 0 {
			return &optionError{"--top", fmt.Sprintf("is %d, must be 0 or more", *top)}
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), stateTimeout)
		defer cancel()
		f, err := readFleet(ctx, s)
		if err != nil {
			return err
		}
		return f.show(cmd.OutOrStdout(), *top)
	}
	return c
}

// fleetReport is the load of the machines as recorded in the state service.
type fleetReport struct {
	types          map[string]*protocol.MachineType
	machines       map[string]*machineLoad
	jobs           map[string]*records.Job // unfinished
	demand         map[string]float64      // CPUs of unfinished tasks, by team
	surges         records.Surges
	migrated       map[string]int // tasks recorded as migrated in the current surge, by team
	unreadableKeys []string       // keys of records that can't be decoded
}

// machineLoad is a machine with the resources that attempts on it reserve.
type machineLoad struct {
	name, machineType, zone string
	reservedByTeam          map[string]placement.Resources
	reserved                placement.Resources
	dominantShare           float64 // the highest reserved share among the machine's resources
}

func newFleetReport() *fleetReport {
	return &fleetReport{types: map[string]*protocol.MachineType{}, machines: map[string]*machineLoad{},
		jobs: map[string]*records.Job{}, demand: map[string]float64{}, migrated: map[string]int{}}
}

// readFleet reads the records of machine types, surges, unfinished jobs, machine groups and task
// blocks. These kinds are read one after the other while controllers change them, so a few tasks may
// be counted twice or not at all.
func readFleet(ctx context.Context, s *config.Settings) (*fleetReport, error) {
	f := newFleetReport()
	for _, part := range []struct {
		prefix string
		add    func(protocol.KeyValue) error
	}{
		{records.KeyMachineTypes, f.addTypes}, {records.PrefixSurges, f.addSurges}, {records.PrefixActive, f.addJob},
		{records.PrefixMachineGroups, f.addMachineGroup}, {records.PrefixTaskBlocks, f.addTaskBlock},
	} {
		err := readKeys(ctx, s, part.prefix, func(kv protocol.KeyValue) {
			if part.add(kv) != nil {
				f.unreadableKeys = append(f.unreadableKeys, kv.Key)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	f.computeShares()
	return f, nil
}

// computeShares sets the dominant share of each machine whose type is known.
func (f *fleetReport) computeShares() {
	for _, m := range f.machines {
		if t := f.types[m.machineType]; t != nil {
			m.dominantShare = balance.DominantShare(m.reserved, placement.Capacity(t))
		}
	}
}

func (f *fleetReport) addTypes(kv protocol.KeyValue) error {
	var types []protocol.MachineType
	err := json.Unmarshal(kv.Value, &types)
	for i := range types {
		f.types[types[i].Name] = &types[i]
	}
	return err
}

func (f *fleetReport) addSurges(kv protocol.KeyValue) error {
	return protocol.Decode(kv.Value, &f.surges)
}

func (f *fleetReport) addJob(kv protocol.KeyValue) error {
	var r records.Job
	if err := protocol.Decode(kv.Value, &r); err != nil {
		return err
	}
	if r.Spec != nil && r.BlockSize > 0 {
		f.jobs[r.Spec.ID] = &r
		f.demand[r.Spec.Team] += float64(r.Spec.Tasks) * r.Spec.CPUs
	}
	return nil
}

func (f *fleetReport) addMachineGroup(kv protocol.KeyValue) error {
	var r records.MachineGroup
	if err := protocol.Decode(kv.Value, &r); err != nil {
		return err
	}
	for _, m := range r.Machines {
		f.machines[m.Name] = &machineLoad{name: m.Name, machineType: r.Type, zone: r.Zone, reservedByTeam: map[string]placement.Resources{}}
	}
	return nil
}

func (f *fleetReport) addTaskBlock(kv protocol.KeyValue) error {
	id, index, ok := records.ParseTaskBlockKey(kv.Key)
	job := f.jobs[id]
	if !ok {
		return &keyError{"task block", kv.Key}
	}
	var r records.TaskBlock
	if err := protocol.Decode(kv.Value, &r); err != nil || job == nil {
		return err // nil if only the job is unknown: it ended after the active jobs were read
	}
	spec := job.Spec
	done, err := r.DoneTasks(job.BlockSize)
	if err != nil {
		return fmt.Errorf("task block %d: %w", index, err)
	}
	for _, d := range done {
		if d {
			f.demand[spec.Team] -= spec.CPUs
		}
	}
	if r.Surge != 0 && r.Surge == f.surges[spec.Team].Number {
		migrated, err := r.MigratedTasks(job.BlockSize)
		if err != nil {
			return fmt.Errorf("task block %d: %w", index, err)
		}
		for _, m := range migrated {
			if m {
				f.migrated[spec.Team]++
			}
		}
	}
	for _, t := range r.Tasks {
		if m := f.machines[t.Machine]; m != nil {
			needs := placement.Needs(spec)
			m.reservedByTeam[spec.Team] = m.reservedByTeam[spec.Team].Plus(needs)
			m.reserved = m.reserved.Plus(needs)
		}
	}
	return nil
}

// show prints a summary of the fleet, the surges, and the most loaded machines.
func (f *fleetReport) show(w io.Writer, top int) error {
	out := &output{w: w}
	list := slices.SortedFunc(maps.Values(f.machines), func(a, b *machineLoad) int {
		return cmp.Or(cmp.Compare(b.dominantShare, a.dominantShare), cmp.Compare(a.name, b.name))
	})
	if len(list) == 0 {
		out.printf("no machines on record\n")
	} else {
		sum := 0.0
		for _, m := range list {
			sum += m.dominantShare
		}
		out.printf("%d machines: mean %.0f%%, 99%% of them below %.0f%%, hottest %.0f%%\n",
			len(list), 100*sum/float64(len(list)), 100*list[len(list)/100].dominantShare, 100*list[0].dominantShare)
	}
	f.showSurges(out)
	if len(list) > 0 && top > 0 {
		out.table(func(rows *output) {
			rows.printf("\nMACHINE\tTYPE\tZONE\tTAKEN\tBY\n")
			for _, m := range list[:min(top, len(list))] {
				rows.printf("%s\t%s\t%s\t%.0f%%\t%s\n", m.name, m.machineType, m.zone, 100*m.dominantShare, f.teamShares(m))
			}
		})
	}
	for _, key := range f.unreadableKeys {
		out.printf("unreadable: %s\n", key)
	}
	return out.err
}

func (f *fleetReport) showSurges(out *output) {
	if len(f.surges) == 0 {
		out.printf("no team surges\n")
		return
	}
	out.table(func(rows *output) {
		rows.printf("\nSURGING TEAM\tSINCE\tUSUAL CPUS\tWANTED CPUS\tMOVED TASKS\n")
		for _, team := range slices.Sorted(maps.Keys(f.surges)) {
			r := f.surges[team]
			rows.printf("%s\t%s\t%.0f\t%.0f\t%d\n", team, time.UnixMilli(int64(r.Number)).UTC().Format(time.DateTime), r.UsualCPUs, f.demand[team], f.migrated[team])
		}
	})
}

// teamShares lists the teams with attempts on a machine, each with its dominant share of the machine,
// the largest first.
func (f *fleetReport) teamShares(m *machineLoad) string {
	capacity := placement.Resources{}
	if t := f.types[m.machineType]; t != nil {
		capacity = placement.Capacity(t)
	}
	share := func(team string) float64 { return balance.DominantShare(m.reservedByTeam[team], capacity) }
	teams := slices.SortedFunc(maps.Keys(m.reservedByTeam), func(a, b string) int { return cmp.Or(cmp.Compare(share(b), share(a)), cmp.Compare(a, b)) })
	var parts []string
	for _, team := range teams {
		parts = append(parts, fmt.Sprintf("%s %.0f%%", team, 100*share(team)))
	}
	return strings.Join(parts, ", ")
}
