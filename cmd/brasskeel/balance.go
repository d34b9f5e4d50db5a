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

// defaultTop is how many machines are listed unless asked otherwise.
const defaultTop = 10

func balanceCommand() *cobra.Command {
	c := &cobra.Command{Use: "balance", Short: "Show how loaded machines are, by whom, and which teams surge", Args: cobra.NoArgs}
	settings, operator := settingsFlags(c)
	top := c.Flags().Int("top", defaultTop, "how many of the hottest machines to list")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		s, _, err := loadSettings(*settings, *operator)
		if err != nil {
			return err
		}
		if *top < 0 {
			return &optionError{"--top", fmt.Sprintf("is %d, not 0 or more", *top)}
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

// fleetReport is what the records tell of machines and of what runs there.
type fleetReport struct {
	types          map[string]*protocol.MachineType
	machines       map[string]*machineLoad
	jobs           map[string]*records.Job
	demand         map[string]float64 // CPUs of unfinished tasks, by team
	surges         records.Surges
	migrated       map[string]int // tasks that are on record as moved in the surge under way, by team
	unreadableKeys []string       // keys that can't be read
}

// machineLoad is one machine, and what its attempts reserve by team.
type machineLoad struct {
	name, machineType, zone string
	reservedByTeam          map[string]placement.Resources
	reserved                placement.Resources
	dominantShare           float64 // of the resource that most is taken of
}

func newFleetReport() *fleetReport {
	return &fleetReport{types: map[string]*protocol.MachineType{}, machines: map[string]*machineLoad{},
		jobs: map[string]*records.Job{}, demand: map[string]float64{}, migrated: map[string]int{}}
}

// readFleet reads the records. They are read one kind after the other while work goes on, so
// that single tasks may be counted twice or not at all.
func readFleet(ctx context.Context, s *config.Settings) (*fleetReport, error) {
	f := newFleetReport()
	for _, part := range []struct {
		prefix string
		take   func(protocol.KeyValue) error
	}{
		{records.KeyMachineTypes, f.addTypes}, {records.PrefixSurges, f.addSurges}, {records.PrefixActive, f.addJob},
		{records.PrefixMachineGroups, f.addMachineGroup}, {records.PrefixTaskBlocks, f.addTaskBlock},
	} {
		err := readKeys(ctx, s, part.prefix, func(it protocol.KeyValue) {
			if part.take(it) != nil {
				f.unreadableKeys = append(f.unreadableKeys, it.Key)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	f.computeShares()
	return f, nil
}

// computeShares sets what part of each machine is taken.
func (f *fleetReport) computeShares() {
	for _, m := range f.machines {
		if t := f.types[m.machineType]; t != nil {
			m.dominantShare = balance.DominantShare(m.reserved, placement.Capacity(t))
		}
	}
}

func (f *fleetReport) addTypes(it protocol.KeyValue) error {
	var types []protocol.MachineType
	err := json.Unmarshal(it.Value, &types)
	for i := range types {
		f.types[types[i].Name] = &types[i]
	}
	return err
}

func (f *fleetReport) addSurges(it protocol.KeyValue) error {
	return protocol.Decode(it.Value, &f.surges)
}

func (f *fleetReport) addJob(it protocol.KeyValue) error {
	var r records.Job
	if err := protocol.Decode(it.Value, &r); err != nil {
		return err
	}
	if r.Spec != nil && r.BlockSize > 0 {
		f.jobs[r.Spec.ID] = &r
		f.demand[r.Spec.Team] += float64(r.Spec.Tasks) * r.Spec.CPUs
	}
	return nil
}

func (f *fleetReport) addMachineGroup(it protocol.KeyValue) error {
	var r records.MachineGroup
	if err := protocol.Decode(it.Value, &r); err != nil {
		return err
	}
	for _, m := range r.Machines {
		f.machines[m.Name] = &machineLoad{name: m.Name, machineType: r.Type, zone: r.Zone, reservedByTeam: map[string]placement.Resources{}}
	}
	return nil
}

func (f *fleetReport) addTaskBlock(it protocol.KeyValue) error {
	id, index, ok := records.ParseTaskBlockKey(it.Key)
	job := f.jobs[id]
	if !ok {
		return &keyError{"chunk", it.Key}
	}
	var r records.TaskBlock
	if err := protocol.Decode(it.Value, &r); err != nil || job == nil {
		return err // without a job: it has just ended
	}
	spec := job.Spec
	done, err := r.DoneTasks(job.BlockSize)
	if err != nil {
		return fmt.Errorf("chunk %d: %w", index, err)
	}
	for _, d := range done {
		if d {
			f.demand[spec.Team] -= spec.CPUs
		}
	}
	if r.Surge != 0 && r.Surge == f.surges[spec.Team].Number {
		moved, err := r.MigratedTasks(job.BlockSize)
		if err != nil {
			return fmt.Errorf("chunk %d: %w", index, err)
		}
		for _, on := range moved {
			if on {
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

// show prints the fleet as a whole, surges, and the hottest machines.
func (f *fleetReport) show(to io.Writer, top int) error {
	out := &output{w: to}
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

// teamShares lists which part of a machine teams take, the largest first.
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
