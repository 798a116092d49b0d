package dfuscenario

import (
	"fmt"
	"slices"

	"dragonflyusher/core/process/dfudecode"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
)

// disruptionKinds lists the valid kinds.
var disruptionKinds = []DisruptionKind{
	DisruptionBurst, DisruptionShift, DisruptionDuplicate, DisruptionGiveUp,
	DisruptionSlow, DisruptionFail, DisruptionLost, DisruptionCrash,
	DisruptionReplace, DisruptionRemove, DisruptionAdd, DisruptionRestart,
	DisruptionKill, DisruptionPower,
}

// Parse decodes a scenario. The error contains every finding with its position in the
// file.
func Parse(file string, data []byte) (*Scenario, error) {
	s := &Scenario{}
	var findings dfufinding.List
	p := dfudecode.Strict(file, data, s, &findings)
	if p.Parsed() {
		s.check(func(path, format string, args ...any) { p.Add(&findings, path, format, args...) })
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// check reports values that the emulator cannot run with.
func (s *Scenario) check(report func(path, format string, args ...any)) {
	if s.Length <= 0 {
		report("length_ms", "must be above 0")
	}
	if len(s.Zones) == 0 || len(s.Services) == 0 || len(s.VMs) == 0 || len(s.Traffic) == 0 {
		report("", "zones, services, vms and traffic must not be empty")
	}
	for i, svc := range s.Services {
		if svc.Slots <= 0 {
			report(fmt.Sprintf("services[%d].slots", i), "must be above 0")
		}
	}
	for i, v := range s.VMs {
		s.checkZone(report, fmt.Sprintf("vms[%d].zone", i), v.Zone)
		s.checkService(report, fmt.Sprintf("vms[%d].service", i), v.Service)
	}
	for i, k := range s.Kinds {
		s.checkService(report, fmt.Sprintf("kinds[%d].service", i), k.Service)
		for j, c := range k.Calls {
			s.checkKind(report, fmt.Sprintf("kinds[%d].calls[%d].kind", i, j), c.Kind)
		}
	}
	for i, t := range s.Traffic {
		s.checkZone(report, fmt.Sprintf("traffic[%d].zone", i), t.Zone)
		for j, weighted := range t.Mix {
			s.checkKind(report, fmt.Sprintf("traffic[%d].mix[%d].kind", i, j), weighted.Kind)
		}
	}
	for i, t := range s.Troubles {
		if !slices.Contains(disruptionKinds, t.Kind) {
			report(fmt.Sprintf("troubles[%d].kind", i), "no such kind: %q", t.Kind)
		}
	}
}

func (s *Scenario) checkZone(report func(path, format string, args ...any), path string, zone dfuident.Zone) {
	if !slices.ContainsFunc(s.Zones, func(p dfuident.Place) bool { return p.Zone == zone }) {
		report(path, "no such zone: %q", zone)
	}
}

func (s *Scenario) checkService(report func(path, format string, args ...any), path string, service dfuident.Service) {
	if !slices.ContainsFunc(s.Services, func(o Service) bool { return o.Name == service }) {
		report(path, "no such service: %q", service)
	}
}

func (s *Scenario) checkKind(report func(path, format string, args ...any), path, kind string) {
	if !slices.ContainsFunc(s.Kinds, func(o Kind) bool { return o.Name == kind }) {
		report(path, "no such kind: %q", kind)
	}
}
