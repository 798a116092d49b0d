package dfuexperiment

import (
	"slices"
	"strconv"
	"strings"

	"dragonflyusher/measure/dfuemulator"

	"github.com/cockroachdb/errors"
)

// Knob is a parameter of a scheduler that experiments vary.
type Knob struct {
	Name string
	// Help says what it is, with its unit.
	Help string
	set  func(*dfuemulator.Scheduler, float64)
}

// Knobs returns the parameters that can be varied.
func Knobs() []Knob {
	return []Knob{
		{"admit_quantile", "quantile of run times that a request which waits needs within its objective, 0 to 1", func(s *dfuemulator.Scheduler, v float64) { s.Gate.AdmitQuantile = v }},
		{"link_loss", "lost answers that a kilobyte between regions is worth", func(s *dfuemulator.Scheduler, v float64) { s.Choice.LinkLossPerKilobyte = v }},
		{"zone_loss", "lost answers that a kilobyte between zones is worth", func(s *dfuemulator.Scheduler, v float64) { s.Choice.ZoneLossPerKilobyte = v }},
		{"retry_after", "part of the target latency after which refused callers come back", func(s *dfuemulator.Scheduler, v float64) { s.RetryAfterShare = v }},
	}
}

// Vary returns a scheduler for each value of a knob, given as NAME=VALUE,VALUE.
func Vary(base dfuemulator.Scheduler, text string) ([]dfuemulator.Scheduler, error) {
	name, list, ok := strings.Cut(text, "=")
	i := slices.IndexFunc(Knobs(), func(k Knob) bool { return k.Name == name })
	if !ok || i < 0 {
		return nil, errors.Newf("%q is not NAME=VALUE,VALUE with a known name", text)
	}
	var schedulers []dfuemulator.Scheduler
	for _, word := range strings.Split(list, ",") {
		value, err := strconv.ParseFloat(word, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "value of %s", name)
		}
		s := base
		s.Name = name + "=" + word
		Knobs()[i].set(&s, value)
		schedulers = append(schedulers, s)
	}
	return schedulers, nil
}
