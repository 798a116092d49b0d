package dfureport

import (
	"fmt"
	"io"

	"dragonflyusher/measure/dfuexperiment"
)

type column struct {
	title  string
	figure dfuexperiment.Figure
}

var columns = []column{
	{"worth", dfuexperiment.Worth},
	{"mean", dfuexperiment.MeanShare},
	{"worst windows", dfuexperiment.WorstWindows},
	{"worst kind", dfuexperiment.WorstKind},
	{"served", dfuexperiment.Served},
	{"bytes", dfuexperiment.BytesPrice},
	{"wasted", dfuexperiment.Wasted},
}

// WriteTable writes a row for each outcome: medians over the seeds, and the range of
// the worth.
func WriteTable(w io.Writer, outcomes []dfuexperiment.Outcome) error {
	header, separator := "| scenario | scheduler |", "| --- | --- |"
	for _, c := range columns {
		header += " " + c.title + " |"
		separator += " ---: |"
	}
	if _, err := fmt.Fprintf(w, "%s spread of worth |\n%s --- |\n", header, separator); err != nil {
		return err
	}
	for i := range outcomes {
		if err := writeRow(w, &outcomes[i]); err != nil {
			return err
		}
	}
	return nil
}

func writeRow(w io.Writer, o *dfuexperiment.Outcome) error {
	text := fmt.Sprintf("| %s | %s |", o.Scenario, o.Scheduler)
	for _, c := range columns {
		text += fmt.Sprintf(" %.3f |", o.Median(c.figure))
	}
	minimum, maximum := o.Range(dfuexperiment.Worth)
	_, err := fmt.Fprintf(w, "%s %.3f..%.3f |\n", text, minimum, maximum)
	return err
}

// WriteMeans writes the mean worth of each scheduler over all scenarios and seeds.
func WriteMeans(w io.Writer, outcomes []dfuexperiment.Outcome) error {
	var names []string
	sums, counts := map[string]float64{}, map[string]float64{}
	for i := range outcomes {
		o := &outcomes[i]
		if counts[o.Scheduler] == 0 {
			names = append(names, o.Scheduler)
		}
		sums[o.Scheduler] += o.Mean(dfuexperiment.Worth)
		counts[o.Scheduler]++
	}
	for _, name := range names {
		if _, err := fmt.Fprintf(w, "%-28s %.4f\n", name, sums[name]/counts[name]); err != nil {
			return err
		}
	}
	return nil
}
