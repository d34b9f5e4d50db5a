package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"brasskeel/internal/simulator"
)

func experimentCommand() *cobra.Command {
	var reportFile, plotFile string
	c := &cobra.Command{Use: "experiment FILE", Short: "Run a randomly generated load in simulated time, with balance off and on", Args: cobra.ExactArgs(1)}
	c.Flags().StringVar(&reportFile, "json", "", "write the full report to this file (JSON)")
	c.Flags().StringVar(&plotFile, "svg", "", "write a plot of machine load over time to this file (SVG)")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		raw, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		e, err := simulator.ParseExperiment(raw)
		if err != nil {
			return err
		}
		outcomes, err := e.Run(cmd.Context(), func(setting string, seed, seeds int) {
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s, seed %d of %d\n", e.Name, setting, seed, seeds)
		})
		if err != nil {
			return err
		}
		printOutcomes(cmd.OutOrStdout(), e, outcomes)
		if err := writeReport(reportFile, e, outcomes); err != nil {
			return err
		}
		if err := writePlot(plotFile, e, outcomes); err != nil {
			return err
		}
		return violationError(outcomes)
	}
	return c
}

// violationError returns an error if an invariant was violated under any setting.
func violationError(outcomes []simulator.Outcome) error {
	for _, o := range outcomes {
		if len(o.Violations) > 0 {
			return fmt.Errorf("%d rules broken with balance %s, first: %s", len(o.Violations), o.Setting, o.Violations[0])
		}
	}
	return nil
}

// printOutcomes prints a table with one column per setting. All figures are from simulated
// machines.
func printOutcomes(out io.Writer, e *simulator.Experiment, outcomes []simulator.Outcome) {
	fmt.Fprintf(out, "%s: %d simulated machines at the start, %d s, %d seeds\n", e.Name, e.Machines, e.Seconds, e.Seeds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value func(*simulator.Outcome) string) {
		fmt.Fprint(w, name)
		for i := range outcomes {
			fmt.Fprint(w, "\t", value(&outcomes[i]))
		}
		fmt.Fprintln(w)
	}
	row("", func(o *simulator.Outcome) string { return o.Setting })
	row("jobs done", func(o *simulator.Outcome) string { return fmt.Sprintf("%d of %d", o.Done, o.Jobs) })
	row("hottest machine, mean over time", func(o *simulator.Outcome) string { return formatPercent(mean(o.MaxLoad)) })
	row("99% of machines below, mean over time", func(o *simulator.Outcome) string { return formatPercent(mean(o.P99Load)) })
	row("all machines, mean", func(o *simulator.Outcome) string { return formatPercent(mean(o.MeanLoad)) })
	row("machine time with a team above its ceiling", func(o *simulator.Outcome) string { return formatPercent(o.AboveCeilingShare) })
	row("tasks moved", func(o *simulator.Outcome) string { return fmt.Sprint(o.Migrations) })
	row("moves per job", func(o *simulator.Outcome) string { return fmt.Sprintf("%.3f", o.MigrationsPerJob) })
	row("wasted work, CPU seconds", func(o *simulator.Outcome) string { return fmt.Sprintf("%.0f", o.WastedCPUSeconds) })
	row("placed on holders", func(o *simulator.Outcome) string { return formatPercent(o.ImageHitRate) })
	row("fetched GB", func(o *simulator.Outcome) string { return fmt.Sprintf("%.0f", o.FetchedGB) })
	row("changes in the state service", func(o *simulator.Outcome) string { return fmt.Sprint(o.StateWrites) })
	for _, team := range slices.Sorted(maps.Keys(outcomes[0].Waits)) {
		row("wait of "+team+", median and 99%", func(o *simulator.Outcome) string {
			return fmt.Sprintf("%.2f s, %.2f s", o.Waits[team].Median, o.Waits[team].P99)
		})
	}
	_ = w.Flush() // output for a terminal: write errors are ignored
}

func formatPercent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(1, len(list)))
}

// writeReport writes the experiment and its outcomes to a file as JSON. It does nothing if the
// file name is empty.
func writeReport(file string, e *simulator.Experiment, outcomes []simulator.Outcome) error {
	if file == "" {
		return nil
	}
	raw, err := json.MarshalIndent(struct {
		Experiment *simulator.Experiment `json:"experiment"`
		Simulated  bool                  `json:"simulatedMachines"`
		Outcomes   []simulator.Outcome   `json:"outcomes"`
	}{e, true, outcomes}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(raw, '\n'), 0o644)
}

// lineColours holds one colour per setting.
var lineColours = []color.Color{color.RGBA{R: 190, G: 60, B: 40, A: 255}, color.RGBA{R: 40, G: 90, B: 170, A: 255}}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// writePlot draws the load of the machines over time, as the mean and as the load that 99% of
// them are below, to a self-contained SVG file. It does nothing if the file name is empty.
func writePlot(file string, e *simulator.Experiment, outcomes []simulator.Outcome) error {
	if file == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text = e.Name + " (simulated machines)"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "share of a machine in use"
	p.Y.Min, p.Y.Max = 0, 1.3 // leaves space for the legend above full load
	p.Legend.Top = true
	for i, o := range outcomes {
		for _, s := range []struct {
			name   string
			values []float64
			dashes []vg.Length
		}{{"99% below", o.P99Load, nil}, {"mean", o.MeanLoad, []vg.Length{vg.Points(4), vg.Points(3)}}} {
			points := make(plotter.XYs, len(s.values))
			for second, v := range s.values {
				points[second].X, points[second].Y = float64(second), v
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			line.Color, line.Dashes = lineColours[i%len(lineColours)], s.dashes
			p.Add(line)
			p.Legend.Add(o.Setting+", "+s.name, line)
		}
	}
	svg, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return err
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	_, err = svg.WriteTo(out)
	return errors.Join(err, out.Close())
}
