package policy

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuvirtual"
)

// Deployment is the part of a fleet that one service's requests meet.
type Deployment struct {
	Name    string
	Service dfuident.Service
	Zones   []dfuident.Place
	// Workers and Entries are numbers of targets of the service and of nodes
	// where requests enter; both are spread evenly over the zones.
	Workers, Entries int
	Slots            int
	// The one-way delays, in milliseconds.
	ZoneDelay, RegionDelay, FarDelay, ClientDelay float64
	Delays                                        dfuchoice.Delays
}

// linkBytesPerMillisecond is the bandwidth of the link between regions, 30
// Mbit/s each way.
const linkBytesPerMillisecond = 3750

// Deployments returns the two deployments.
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

// Fault is what goes wrong during a run.
type Fault string

// The faults that are measured.
const (
	FaultNone       Fault = "steady"
	FaultShortJumps Fault = "short_jumps"
	FaultLongJumps  Fault = "long_jumps"
	FaultStraggler  Fault = "straggler"
	FaultFailFast   Fault = "fail_fast"
	FaultColdStart  Fault = "cold_start"
	FaultDrain      Fault = "drain"
	FaultLying      Fault = "lying_reports"
	FaultLinkCut    Fault = "link_cut"
	FaultUneven     Fault = "uneven_regions"
)

// Scenario is a load, as a share of the service's capacity, and a fault.
type Scenario struct {
	Load  float64
	Fault Fault
}

// Scenarios returns what is measured.
func Scenarios() []Scenario {
	list := []Scenario{
		{0.5, FaultNone},
		{0.8, FaultNone},
		{1.1, FaultNone},
		{0.5, FaultShortJumps},
		{0.8, FaultShortJumps},
		{1.1, FaultShortJumps},
		{0.5, FaultLongJumps},
		{0.8, FaultLongJumps},
		{1.1, FaultLongJumps},
	}
	for _, f := range []Fault{FaultStraggler, FaultFailFast, FaultColdStart, FaultDrain, FaultLying, FaultLinkCut, FaultUneven} {
		list = append(list, Scenario{0.8, f})
	}
	return list
}

// Contender is one way to run the fleet.
type Contender struct {
	Name string
	// Policy chooses; nil stands for the oracle.
	Policy dfuchoice.Policy
	// Baseline says that the contender is none of ours.
	Baseline bool
	// Reports says that each worker reports its load to each entry node.
	Reports bool
	// BudgetShare is the budget for measuring, as a share of the cost of
	// reports; loads ride on answers within it.
	BudgetShare float64
	// TellAll says that all answers carry a load, not only refusals.
	TellAll bool
	// Refuse says that the gates refuse early.
	Refuse bool
	// Hedge says that slow idempotent requests are sent a dfuvirtual.Second time.
	Hedge bool
}

// oracleName is the contender that sees every queue.
const oracleName = "oracle"

// Contenders returns the baselines, the versions of ours and the oracle.
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
	ours := dfuchoice.DefaultSettings().Policy
	return append(
		list,
		Contender{Name: "two_choices", Policy: dfuchoice.TwoChoices{}, BudgetShare: 1, TellAll: true},
		Contender{Name: "late_no_hedge", Policy: ours, BudgetShare: 0.1, Refuse: true},
		Contender{Name: "late_no_budget", Policy: ours, Refuse: true, Hedge: true},
		Contender{Name: "late_binding", Policy: ours, BudgetShare: 0.1, Refuse: true, Hedge: true},
		Contender{Name: oracleName},
	)
}

// The parameters of the fakes.
const (
	warmUp      = 1 * dfuvirtual.Second
	measured    = 8 * dfuvirtual.Second
	faultStarts = 3 * dfuvirtual.Second
	faultEnds   = 7 * dfuvirtual.Second
	// The work of a request is workBase plus an exponential part, in
	// milliseconds at full speed.
	workBase, workTail = 12.0, 8.0
	// impatientShare of the callers give up within impatience.
	impatientShare = 0.2
	impatience     = 40.0
	// Deadlines lie between minPatience and maxPatience; the others wait for
	// them.
	minPatience, maxPatience = 250.0, 800.0
	idempotentShare          = 0.9
	// A neighbor slows a worker down to jumpSpeed for one of jumpLengths on
	// average, after jumpGaps times as long on average.
	jumpGaps, jumpSpeed = 5.0, 0.25
	stragglerSpeed      = 0.2
	coldSpeed           = 0.2
	lyingSpeed          = 0.5
	errorTime           = 1.0
	unevenShare         = 0.65
	// Reports are sent every reportPeriod and take reportBytes with headers.
	reportPeriod = 100 * dfuvirtual.Millisecond
	reportBytes  = dfuident.Bytes(104)
	requestBytes = dfuident.Bytes(300)
	answerBytes  = dfuident.Bytes(4000)
	// linkTimeout is how long an entry node waits on a silent link.
	linkTimeout = 250 * dfuvirtual.Millisecond
	// rosterDelay is how late entry nodes learn of a change of the targets.
	rosterDelay = 500 * dfuvirtual.Millisecond
	maxAttempts = 6
	queueFactor = 8
)

// jumpLengths are the mean lengths, in milliseconds, of what neighbors do.
var jumpLengths = map[Fault]float64{FaultShortJumps: 30, FaultLongJumps: 200}
