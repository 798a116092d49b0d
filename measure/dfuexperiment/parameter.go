package dfuexperiment

import (
	"slices"
	"strconv"
	"strings"

	"dragonflyusher/measure/dfuemulator"

	"github.com/cockroachdb/errors"
)

// Parameter is a scheduler parameter that experiments vary.
type Parameter struct {
	Name string
	// Help describes the parameter and its unit.
	Help string
	set  func(*dfuemulator.Scheduler, float64)
}

// Parameters returns the parameters that can be varied.
func Parameters() []Parameter {
	return []Parameter{
		{"admit_quantile", "quantile of a kind's run times that must fit into the time left of a queued request, 0 to 1", func(s *dfuemulator.Scheduler, v float64) { s.Gate.AdmitQuantile = v }},
		{"link_loss", "price of a kilobyte between regions, in answers that miss their objective", func(s *dfuemulator.Scheduler, v float64) { s.Choice.LinkLossPerKilobyte = v }},
		{"zone_loss", "price of a kilobyte between zones, in answers that miss their objective", func(s *dfuemulator.Scheduler, v float64) { s.Choice.ZoneLossPerKilobyte = v }},
		{"retry_after", "Retry-After of refused requests, as a share of the target latency", func(s *dfuemulator.Scheduler, v float64) { s.RetryAfterShare = v }},
	}
}

// Vary returns a scheduler for each value of a parameter, given as NAME=VALUE,VALUE.
func Vary(base dfuemulator.Scheduler, text string) ([]dfuemulator.Scheduler, error) {
	name, list, ok := strings.Cut(text, "=")
	i := slices.IndexFunc(Parameters(), func(p Parameter) bool { return p.Name == name })
	if !ok || i < 0 {
		return nil, errors.Newf("%q: expected NAME=VALUE,VALUE with the name of a parameter", text)
	}
	var schedulers []dfuemulator.Scheduler
	for _, item := range strings.Split(list, ",") {
		value, err := strconv.ParseFloat(item, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "parse value of %s", name)
		}
		s := base
		s.Name = name + "=" + item
		Parameters()[i].set(&s, value)
		schedulers = append(schedulers, s)
	}
	return schedulers, nil
}
