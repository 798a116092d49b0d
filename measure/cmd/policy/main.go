// Command policy compares target selection policies with baselines and an oracle and
// prints the tables of docs/MEASUREMENTS.md.
package main

import (
	"fmt"
	"os"
	"slices"

	"dragonflyusher/measure/policy"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Deployment string   `long:"deployment" default:"pilzgarten" description:"pilzgarten or hollingsworth"`
	Seeds      uint64   `long:"seeds" default:"5" description:"number of seeds, from 1"`
	Fault      string   `long:"fault" description:"measure this fault only"`
	Load       float64  `long:"load" description:"measure this load only"`
	Only       []string `long:"only" description:"measure this contender only; may be repeated"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(1)
	}
	deployments := policy.Deployments()
	i := slices.IndexFunc(deployments, func(d policy.Deployment) bool { return d.Name == opts.Deployment })
	if i < 0 || opts.Seeds == 0 {
		fmt.Fprintln(os.Stderr, "--deployment must be pilzgarten or hollingsworth, and --seeds at least 1")
		os.Exit(1)
	}
	fmt.Printf("%s, seeds 1 to %d; median over the seeds, p99 with (min..max)\n", opts.Deployment, opts.Seeds)
	for _, s := range policy.Scenarios() {
		if opts.Fault != "" && string(s.Fault) != opts.Fault || opts.Load != 0 && s.Load != opts.Load {
			continue
		}
		fmt.Printf("\n%s at %.0f %%\n\n", s.Fault, 100*s.Load)
		printScenario(deployments[i], s, opts)
	}
}

// printScenario runs all contenders in one scenario and prints a table.
func printScenario(d policy.Deployment, s policy.Scenario, opts options) {
	fmt.Println("| policy | p50 ms | p99 ms | p99 spread | p99.9 ms | in time % | wasted % | extra % | measuring B/s | of it link | link kB/s |")
	fmt.Println("| --- | ---: | ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, c := range policy.Contenders() {
		if len(opts.Only) > 0 && !slices.Contains(opts.Only, c.Name) {
			continue
		}
		var runs []policy.Summary
		for seed := uint64(1); seed <= opts.Seeds; seed++ {
			runs = append(runs, policy.Run(d, s, c, seed).Summary())
		}
		printRow(c.Name, runs)
	}
}

// printRow prints the medians of one contender.
func printRow(name string, runs []policy.Summary) {
	sorted := func(field func(policy.Summary) float64) []float64 {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = field(r)
		}
		slices.Sort(values)
		return values
	}
	median := func(field func(policy.Summary) float64) float64 {
		return sorted(field)[len(runs)/2]
	}
	p99 := sorted(func(s policy.Summary) float64 { return s.P99 })
	fmt.Printf(
		"| %-24s | %5.1f | %5.1f | %3.0f..%3.0f | %5.1f | %6.2f | %5.2f | %5.2f | %6.0f | %5.0f | %4.0f |\n", name,
		median(func(s policy.Summary) float64 { return s.P50 }),
		p99[len(p99)/2], p99[0], p99[len(p99)-1],
		median(func(s policy.Summary) float64 { return s.P999 }),
		100*median(func(s policy.Summary) float64 { return s.InTime }),
		100*median(func(s policy.Summary) float64 { return s.Wasted }),
		100*median(func(s policy.Summary) float64 { return s.Extra }),
		median(func(s policy.Summary) float64 { return s.Measuring }),
		median(func(s policy.Summary) float64 { return s.LinkMeasuring }),
		median(func(s policy.Summary) float64 { return s.Link })/1000,
	)
}
