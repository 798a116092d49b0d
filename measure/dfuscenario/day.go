package dfuscenario

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// site is the part of a site file that the emulator uses, with the names of the file.
type site struct {
	Name    string  `toml:"name"`
	LengthS float64 `toml:"length_s"`
	Zones   []struct {
		Name   dfuident.Zone   `toml:"name"`
		Region dfuident.Region `toml:"region"`
	} `toml:"zones"`
	Machines []struct {
		LinkMbps float64          `toml:"link_mbps"`
		Zone     dfuident.Zone    `toml:"zone"`
		Count    int              `toml:"count"`
		App      dfuident.Service `toml:"app"`
	} `toml:"machines"`
	Services []siteService `toml:"services"`
	Classes  []siteClass   `toml:"classes"`
	Traffic  []siteTraffic `toml:"traffic"`
	Days     []siteDay     `toml:"day"`
	Timing   struct {
		Patience float64 `toml:"patience"`
	} `toml:"timing"`
	Net struct {
		InZoneMs      float64 `toml:"in_zone_ms"`
		CrossZoneMs   float64 `toml:"cross_zone_ms"`
		CrossRegionMs float64 `toml:"cross_region_ms"`
		RegionMbps    float64 `toml:"region_mbps"`
		ClientMs      float64 `toml:"client_ms"`
	} `toml:"net"`
	Bounds struct {
		BudgetSlack float64 `toml:"budget_slack"`
	} `toml:"bounds"`
	Prices struct {
		CrossZoneGB   float64 `toml:"cross_zone_gb"`
		CrossRegionGB float64 `toml:"cross_region_gb"`
	} `toml:"prices"`
	Goal struct {
		Mean, Window, Class, Served float64
	} `toml:"goal"`
}

type siteService struct {
	Name  dfuident.Service `toml:"name"`
	Slots int              `toml:"slots"`
	ColdS float64          `toml:"cold_s"`
	ColdX float64          `toml:"cold_x"`
	Knee  float64          `toml:"knee"`
	KneeX float64          `toml:"knee_x"`
	Noise struct {
		Share   float64 `toml:"share"`
		X       float64 `toml:"x"`
		EveryMs float64 `toml:"every_ms"`
	} `toml:"noise"`
}

type siteClass struct {
	Name       string           `toml:"name"`
	Service    dfuident.Service `toml:"service"`
	Kind       string           `toml:"kind"`
	Inner      bool             `toml:"inner"`
	AimMs      float64          `toml:"aim_ms"`
	DeadlineMs float64          `toml:"deadline_ms"`
	TimeoutMs  float64          `toml:"timeout_ms"`
	Worth      float64          `toml:"worth"`
	LateWorth  float64          `toml:"late_worth"`
	Priority   int              `toml:"priority"`
	Retries    int              `toml:"retries"`
	WorkMs     siteSpread       `toml:"work_ms"`
	ReqBytes   siteSpread       `toml:"req_bytes"`
	RespBytes  siteSpread       `toml:"resp_bytes"`
	Calls      []struct {
		Class    string  `toml:"class"`
		Times    int     `toml:"times"`
		Share    float64 `toml:"share"`
		Together bool    `toml:"together"`
	} `toml:"calls"`
}

type siteSpread struct {
	Mean, Spread, Max float64
}

type siteTraffic struct {
	Zone  dfuident.Zone      `toml:"zone"`
	Mix   map[string]float64 `toml:"mix"`
	PerS  float64            `toml:"per_s"`
	Shape struct {
		Swing   float64 `toml:"swing"`
		PeriodS float64 `toml:"period_s"`
		Phase   float64 `toml:"phase"`
	} `toml:"shape"`
}

type siteDay struct {
	Name    string           `toml:"name"`
	Plan    []siteDisruption `toml:"plan"`
	Faults  []siteDisruption `toml:"faults"`
	Traffic []siteTraffic    `toml:"traffic"`
	Closing struct {
		Kind  string  `toml:"kind"`
		DownS float64 `toml:"down_s"`
	} `toml:"closing"`
}

type siteDisruption struct {
	At      float64          `toml:"at"`
	Kind    string           `toml:"kind"`
	How     string           `toml:"how"`
	ForS    float64          `toml:"for_s"`
	GapS    float64          `toml:"gap_s"`
	Share   float64          `toml:"share"`
	X       float64          `toml:"x"`
	Service dfuident.Service `toml:"service"`
	Zone    dfuident.Zone    `toml:"zone"`
}

const (
	// timeoutPerDeadline is the route timeout of a class without timeout_ms, as a
	// share of its deadline.
	timeoutPerDeadline = 1.0
	// siteAttempts is the maximum number of targets that one request may be sent
	// to, which site files do not contain.
	siteAttempts = 3
	// siteRetryRatio and siteRetryWindow are limits of the deployments that site
	// files do not contain.
	siteRetryRatio  = 0.2
	siteRetryWindow = 10 * dfuclock.Second
)

// ReadDay reads one day of a site file. It also returns the disruptions of the day that
// the emulator does not support.
func ReadDay(path, day string) (*Scenario, []string, error) {
	var f site
	if _, err := toml.DecodeFile(path, &f); err != nil {
		return nil, nil, errors.Wrap(err, "read site file")
	}
	i := slices.IndexFunc(f.Days, func(d siteDay) bool { return d.Name == day })
	if i < 0 {
		return nil, nil, errors.Newf("%s has no day %q", path, day)
	}
	s := f.scenario(f.Days[i])
	unsupported := s.addDisruptions(f.Days[i])
	return s, unsupported, nil
}

func secondsToDuration(s float64) dfuclock.Duration {
	return dfuclock.Duration(s * float64(dfuclock.Second))
}

func (p siteSpread) spread() Spread {
	return Spread{Mean: p.Mean, Sigma: p.Spread, Max: p.Max}
}

// scenario converts a day without its disruptions.
func (f *site) scenario(day siteDay) *Scenario {
	s := &Scenario{
		Name:   f.Name + " " + day.Name,
		Length: secondsToDuration(f.LengthS),
		Network: Network{
			SameZoneMs: f.Net.InZoneMs, SameRegionMs: f.Net.CrossZoneMs, FarRegionMs: f.Net.CrossRegionMs,
			CallerMs: f.Net.ClientMs, RegionMbps: f.Net.RegionMbps,
		},
		Retry: Retry{Ratio: siteRetryRatio, Reserve: f.Bounds.BudgetSlack, Window: siteRetryWindow},
		Goal: Goal{
			Mean: f.Goal.Mean, Windows: f.Goal.Window, WorstKind: f.Goal.Class, Served: f.Goal.Served,
			ZoneGigabyte: f.Prices.CrossZoneGB, RegionGigabyte: f.Prices.CrossRegionGB,
		},
		PatienceSpread: f.Timing.Patience,
	}
	for _, z := range f.Zones {
		s.Zones = append(s.Zones, dfuident.Place{Region: z.Region, Zone: z.Name})
	}
	for _, m := range f.Machines {
		s.VMs = append(s.VMs, VMs{Zone: m.Zone, Service: m.App, Count: m.Count, LinkMbps: m.LinkMbps})
	}
	for _, v := range f.Services {
		s.Services = append(s.Services, Service{
			Name: v.Name, Slots: v.Slots, ColdFor: secondsToDuration(v.ColdS), ColdFactor: v.ColdX,
			FullShare: v.Knee, FullFactor: v.KneeX,
			Neighbors: Neighbors{Share: v.Noise.Share, Factor: v.Noise.X, StepMs: v.Noise.EveryMs},
		})
	}
	for _, c := range f.Classes {
		s.Kinds = append(s.Kinds, c.kind())
	}
	traffic := day.Traffic
	if len(traffic) == 0 {
		traffic = f.Traffic
	}
	for _, t := range traffic {
		s.Traffic = append(s.Traffic, Traffic{
			Zone: t.Zone, PerSecond: t.PerS, Mix: mix(t.Mix), Swing: t.Shape.Swing,
			PeriodMs: float64(dfuclock.Second) * t.Shape.PeriodS, Phase: t.Shape.Phase,
		})
	}
	return s
}

// mix returns the weights of a site file, sorted by kind.
func mix(weights map[string]float64) []WeightedKind {
	var weighted []WeightedKind
	for _, kind := range slices.Sorted(maps.Keys(weights)) {
		weighted = append(weighted, WeightedKind{Kind: kind, Weight: weights[kind]})
	}
	return weighted
}

func (c *siteClass) kind() Kind {
	k := Kind{
		Name: c.Name, Service: c.Service, Idempotent: c.Kind == "safe", Priority: c.Priority,
		Latency: dfuclock.Duration(c.AimMs), Deadline: dfuclock.Duration(c.DeadlineMs),
		Timeout: dfuclock.Duration(cmp.Or(c.TimeoutMs, timeoutPerDeadline*c.DeadlineMs)),
		Worth:   c.Worth, LateWorth: c.LateWorth, Inner: c.Inner, Retries: c.Retries, Attempts: siteAttempts,
		Work: c.WorkMs.spread(), Request: c.ReqBytes.spread(), Answer: c.RespBytes.spread(),
	}
	for _, call := range c.Calls {
		k.Calls = append(k.Calls, Call{Kind: call.Class, Times: call.Times, Share: call.Share, Together: call.Together})
	}
	return k
}

// siteDisruptions maps the kinds of a site file to the emulator's, with the default
// share and factor.
var siteDisruptions = map[string]Disruption{
	"burst":              {Kind: DisruptionBurst, Factor: 1.5},
	"shift":              {Kind: DisruptionShift, Share: 0.5},
	"retry_abuse":        {Kind: DisruptionDuplicate, Share: 0.3, Factor: 3},
	"give_up":            {Kind: DisruptionGiveUp, Share: 0.2},
	"srv_slow":           {Kind: DisruptionSlow, Share: 0.15, Factor: 4},
	"srv_grey":           {Kind: DisruptionFail, Share: 0.15, Factor: 0.4},
	"srv_lying_health":   {Kind: DisruptionFail, Share: 0.15, Factor: 1},
	"srv_crash":          {Kind: DisruptionCrash, Share: 0.15},
	"srv_flap":           {Kind: DisruptionCrash, Share: 0.1},
	"answer_lost":        {Kind: DisruptionLost, Share: 0.5, Factor: 0.03},
	"release":            {Kind: DisruptionReplace, Share: 0.5, Factor: 1},
	"replace_with_reuse": {Kind: DisruptionReplace, Share: 0.15, Factor: 100},
	"scale_in":           {Kind: DisruptionRemove, Share: 0.15},
	"scale_out":          {Kind: DisruptionAdd, Share: 0.3},
	"roll_term":          {Kind: DisruptionRestart, Share: 1, Factor: 1},
	"node_kill":          {Kind: DisruptionKill, Share: 0.1},
	"herd_kill":          {Kind: DisruptionKill, Share: 0.6},
}

// defaultDisruptionTime is the length of a disruption without for_s.
const defaultDisruptionTime = 5 * dfuclock.Second

// addDisruptions adds the disruptions of a day and returns those that are not
// supported.
func (s *Scenario) addDisruptions(day siteDay) []string {
	var unsupported []string
	for _, t := range slices.Concat(day.Plan, day.Faults) {
		disruption, ok := siteDisruptions[t.Kind]
		if !ok {
			unsupported = append(unsupported, strings.TrimSpace(t.Kind+" "+t.How))
			continue
		}
		disruption.At = secondsToDuration(t.At)
		disruption.For = cmp.Or(secondsToDuration(t.ForS), defaultDisruptionTime)
		disruption.Gap = secondsToDuration(t.GapS)
		disruption.Share = cmp.Or(t.Share, disruption.Share)
		disruption.Factor = cmp.Or(t.X, disruption.Factor)
		disruption.Service, disruption.Zone = t.Service, t.Zone
		s.Troubles = append(s.Troubles, disruption)
	}
	if closing := day.Closing; closing.Kind != "" {
		kind := DisruptionKill
		if closing.Kind != "kill_all" {
			kind = DisruptionPower
		}
		s.Troubles = append(s.Troubles, Disruption{Kind: kind, At: s.Length, For: secondsToDuration(closing.DownS), Share: 1})
		s.Length += recoveryTime
	}
	return unsupported
}

// recoveryTime is how long requests keep arriving after the fault that ends a day.
const recoveryTime = 8 * dfuclock.Second
