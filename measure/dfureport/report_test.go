package dfureport_test

import (
	"bytes"
	"strings"
	"testing"

	"dragonflyusher/measure/dfuemulator"
	"dragonflyusher/measure/dfuexperiment"
	"dragonflyusher/measure/dfureport"

	"github.com/matryer/is"
)

// outcomes returns two schedulers in one scenario with three seeds each.
func outcomes() []dfuexperiment.Outcome {
	runs := func(worths ...float64) []dfuemulator.Summary {
		var list []dfuemulator.Summary
		for _, worth := range worths {
			list = append(list, dfuemulator.Summary{Worth: worth, Mean: 1, Windows: []float64{1, worth}})
		}
		return list
	}
	return []dfuexperiment.Outcome{
		{Scenario: "busy", Scheduler: "current", Runs: runs(0.7, 0.5, 0.6)},
		{Scenario: "busy", Scheduler: "random", Runs: runs(0.2, 0.4, 0.3)},
	}
}

func TestTable(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(dfureport.WriteTable(&out, outcomes()))
	is.NoErr(dfureport.WriteMeans(&out, outcomes()))
	is.Equal(out.String(), strings.TrimLeft(`
| scenario | scheduler | worth | mean | worst windows | worst kind | served | bytes | wasted | spread of worth |
| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |
| busy | current | 0.600 | 1.000 | 0.000 | 0.000 | 0.000 | 0.000 | 0.000 | 0.500..0.700 |
| busy | random | 0.300 | 1.000 | 0.000 | 0.000 | 0.000 | 0.000 | 0.000 | 0.200..0.400 |
current                      0.6000
random                       0.3000
`, "\n"))
}

func TestPlots(t *testing.T) {
	is := is.New(t)
	var windows, worths bytes.Buffer
	is.NoErr(dfureport.PlotWindows(&windows, "busy", outcomes()))
	is.NoErr(dfureport.PlotWorth(&worths, "worth", []string{"busy"}, []string{"current", "random"}, outcomes()))
	for _, plot := range []string{windows.String(), worths.String()} {
		is.True(strings.Contains(plot, "<svg"))
		is.True(strings.Contains(plot, "current") && strings.Contains(plot, "random"))
	}
}
