package policy

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuvirtual"
)

// Deployment is the part of a fleet that serves one service.
type Deployment struct {
	Name    string
	Service dfuident.Service
	Zones   []dfuident.Place
	// Workers is the number of targets of the service, Entries the number of entry
	// nodes. Both are spread evenly over the zones.
	Workers, Entries int
	Slots            int
	// The one-way delays, in milliseconds.
	ZoneDelay, RegionDelay, FarDelay, ClientDelay float64
	Delays                                        dfuchoice.Delays
}

// linkBytesPerMillisecond is the bandwidth of the link between regions, 30 Mbit/s in
// each direction.
const linkBytesPerMillisecond = 3750

// Deployments returns the deployments that can be measured.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "pilzgarten", Service: "lager", Workers: 6, Entries: 18, Slots: 12,
			Zones:     []dfuident.Place{{Region: "sued", Zone: "sued-a"}, {Region: "nord", Zone: "nord-a"}, {Region: "sued", Zone: "sued-b"}, {Region: "nord", Zone: "nord-b"}},
			ZoneDelay: 0.2, RegionDelay: 1, FarDelay: 8, ClientDelay: 1,
			Delays: dfuchoice.Delays{SameRegion: 1, FarRegion: 8},
		},
		{
			Name: "hollingsworth", Service: "refill-catalogue", Workers: 4, Entries: 16, Slots: 9,
			Zones:     []dfuident.Place{{Region: "downs", Zone: "downs-east"}, {Region: "moreton", Zone: "moreton-north"}, {Region: "downs", Zone: "downs-west"}, {Region: "moreton", Zone: "moreton-south"}},
			ZoneDelay: 0.2, RegionDelay: 1.5, FarDelay: 8, ClientDelay: 3,
			Delays: dfuchoice.Delays{SameRegion: 2, FarRegion: 8},
		},
	}
}

// Fault is a disturbance during a run.
type Fault string

// The faults that are measured.
const (
	FaultNone           Fault = "steady"
	FaultShortSlowdowns Fault = "short_jumps"
	FaultLongSlowdowns  Fault = "long_jumps"
	FaultStraggler      Fault = "straggler"
	FaultFailFast       Fault = "fail_fast"
	FaultColdStart      Fault = "cold_start"
	FaultDrain          Fault = "drain"
	FaultMisreporting   Fault = "lying_reports"
	FaultLinkCut        Fault = "link_cut"
	FaultUneven         Fault = "uneven_regions"
)

// Scenario is a load, as a share of the service's capacity, and a fault.
type Scenario struct {
	Load  float64
	Fault Fault
}

// Scenarios returns the measured scenarios.
func Scenarios() []Scenario {
	list := []Scenario{
		{0.5, FaultNone},
		{0.8, FaultNone},
		{1.1, FaultNone},
		{0.5, FaultShortSlowdowns},
		{0.8, FaultShortSlowdowns},
		{1.1, FaultShortSlowdowns},
		{0.5, FaultLongSlowdowns},
		{0.8, FaultLongSlowdowns},
		{1.1, FaultLongSlowdowns},
	}
	for _, f := range []Fault{FaultStraggler, FaultFailFast, FaultColdStart, FaultDrain, FaultMisreporting, FaultLinkCut, FaultUneven} {
		list = append(list, Scenario{0.8, f})
	}
	return list
}

// Contender is a policy with its settings.
type Contender struct {
	Name string
	// Policy selects targets; nil selects the oracle.
	Policy dfuchoice.Policy
	// Baseline is set for policies that are not the daemon's.
	Baseline bool
	// Reports is set if each worker reports its load to each entry node
	// periodically.
	Reports bool
	// BudgetShare is the budget for load information on answers, as a share of the
	// cost of reports.
	BudgetShare float64
	// LoadOnAllAnswers is set if all answers may carry a load, not only refusals.
	LoadOnAllAnswers bool
	// Refuse is set if gates refuse attempts that must not wait when no slot is
	// free.
	Refuse bool
	// Hedge is set if slow idempotent requests get a second attempt.
	Hedge bool
}

// oracleName names the contender that uses the exact state of all workers.
const oracleName = "oracle"

// Contenders returns the baselines, variants of the daemon's policy and the oracle.
func Contenders() []Contender {
	var list []Contender
	for _, regional := range []bool{false, true} {
		suffix := ""
		if regional {
			suffix = "_in_region"
		}
		list = append(
			list,
			Contender{Name: "random" + suffix, Policy: dfuchoice.Random{Regional: regional}, Baseline: true},
			Contender{Name: "round_robin" + suffix, Policy: dfuchoice.RoundRobin{Regional: regional}, Baseline: true},
			Contender{Name: "least_reported" + suffix, Policy: dfuchoice.LeastReported{Regional: regional}, Baseline: true, Reports: true},
			Contender{Name: "two_on_reports" + suffix, Policy: dfuchoice.TwoChoicesOnReports{Regional: regional}, Baseline: true, Reports: true},
		)
	}
	current := dfuchoice.DefaultSettings().Policy
	return append(
		list,
		Contender{Name: "two_choices", Policy: dfuchoice.TwoChoices{}, BudgetShare: 1, LoadOnAllAnswers: true},
		Contender{Name: "late_no_hedge", Policy: current, BudgetShare: 0.1, Refuse: true},
		Contender{Name: "late_no_budget", Policy: current, Refuse: true, Hedge: true},
		Contender{Name: "late_binding", Policy: current, BudgetShare: 0.1, Refuse: true, Hedge: true},
		Contender{Name: oracleName},
	)
}

// Parameters of the models.
const (
	warmUp       = 1 * dfuvirtual.Second
	measuredTime = 8 * dfuvirtual.Second
	faultStart   = 3 * dfuvirtual.Second
	faultEnd     = 7 * dfuvirtual.Second
	// The work of a request, in milliseconds at full speed, is workBase plus an
	// exponential part with mean workExponential.
	workBase, workExponential = 12.0, 8.0
	// impatientShare of the callers give up within maxImpatientWait milliseconds.
	impatientShare   = 0.2
	maxImpatientWait = 40.0
	// Deadlines are between minPatience and maxPatience milliseconds. Patient
	// callers wait until their deadline.
	minPatience, maxPatience = 250.0, 800.0
	idempotentShare          = 0.9
	// A noisy neighbor slows a worker down to slowdownSpeed. The mean length is
	// given by slowdownLengths, and the mean pause is slowdownGapFactor times as
	// long.
	slowdownGapFactor, slowdownSpeed = 5.0, 0.25
	stragglerSpeed                   = 0.2
	coldSpeed                        = 0.2
	misreportingSpeed                = 0.5
	errorTime                        = 1.0
	unevenShare                      = 0.65
	// Reports are sent every reportPeriod. reportBytes includes headers.
	reportPeriod = 100 * dfuvirtual.Millisecond
	reportBytes  = dfuident.Bytes(104)
	requestBytes = dfuident.Bytes(300)
	answerBytes  = dfuident.Bytes(4000)
	// linkTimeout is the time after which an attempt over a broken link or at a
	// stopped worker fails.
	linkTimeout = 250 * dfuvirtual.Millisecond
	// rosterDelay is how long a change of the targets takes to reach entry nodes.
	rosterDelay  = 500 * dfuvirtual.Millisecond
	maxAttempts  = 6
	queuePerSlot = 8
)

// slowdownLengths holds the mean length of a slowdown in milliseconds.
var slowdownLengths = map[Fault]float64{FaultShortSlowdowns: 30, FaultLongSlowdowns: 200}
