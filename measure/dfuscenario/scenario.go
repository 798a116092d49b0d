package dfuscenario

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Scenario is one run of one deployment.
type Scenario struct {
	Name string `json:"name"`
	// Length is how long new requests arrive. Requests in progress then still run
	// to their end.
	Length   dfuclock.Duration `json:"length_ms"`
	Network  Network           `json:"network"`
	Zones    []dfuident.Place  `json:"zones"`
	Services []Service         `json:"services"`
	VMs      []VMs             `json:"vms"`
	Kinds    []Kind            `json:"kinds"`
	Traffic  []Traffic         `json:"traffic"`
	Troubles []Disruption      `json:"troubles"`
	Retry    Retry             `json:"retry"`
	Goal     Goal              `json:"goal"`
	// PatienceSpread is the maximum share by which a caller's deadline is shorter
	// than that of its kind.
	PatienceSpread float64 `json:"patience_spread"`
}

// Network holds one-way delays and link bandwidths.
type Network struct {
	SameZoneMs   float64 `json:"same_zone_ms"`
	SameRegionMs float64 `json:"same_region_ms"`
	FarRegionMs  float64 `json:"far_region_ms"`
	CallerMs     float64 `json:"caller_ms"`
	// RegionMbps is the bandwidth of the link between regions in each direction.
	RegionMbps float64 `json:"region_mbps"`
}

// Service describes the targets of a service.
type Service struct {
	Name  dfuident.Service `json:"name"`
	Slots int              `json:"slots"`
	// During ColdFor after its start, a target's work takes ColdFactor times as
	// long.
	ColdFor    dfuclock.Duration `json:"cold_ms"`
	ColdFactor float64           `json:"cold_factor"`
	// While more than FullShare of its slots are in use, new work takes FullFactor
	// times as long. Zero disables this.
	FullShare  float64   `json:"full_share"`
	FullFactor float64   `json:"full_factor"`
	Neighbors  Neighbors `json:"neighbors"`
}

// Neighbors slow a target down by Factor for a Share of the time. Whether they do is
// drawn anew every StepMs.
type Neighbors struct {
	Share  float64 `json:"share"`
	Factor float64 `json:"factor"`
	StepMs float64 `json:"step_ms"`
}

// VMs is a group of Count equal VMs, each with a node and a target of the service.
type VMs struct {
	Zone     dfuident.Zone    `json:"zone"`
	Service  dfuident.Service `json:"service"`
	Count    int              `json:"count"`
	LinkMbps float64          `json:"link_mbps"`
}

// Kind is a kind of request and the settings of its route.
type Kind struct {
	Name       string            `json:"name"`
	Service    dfuident.Service  `json:"service"`
	Idempotent bool              `json:"idempotent"`
	Priority   int               `json:"priority"`
	Latency    dfuclock.Duration `json:"target_latency_ms"`
	Deadline   dfuclock.Duration `json:"deadline_ms"`
	Timeout    dfuclock.Duration `json:"timeout_ms"`
	Worth      float64           `json:"worth"`
	LateWorth  float64           `json:"late_worth"`
	// Work is in milliseconds at the target's normal speed.
	Work    Spread `json:"work_ms"`
	Request Spread `json:"request_bytes"`
	Answer  Spread `json:"answer_bytes"`
	// Retries is how often a caller retries after a refusal or failure.
	Retries int `json:"retries"`
	// Attempts is the maximum number of targets that one request may be sent to.
	Attempts int    `json:"attempts"`
	Calls    []Call `json:"calls"`
	// Inner is set if only targets send such requests.
	Inner bool `json:"inner"`
}

// Spread is a log-normal distribution with a mean and an upper bound; zero is no bound.
type Spread struct {
	Mean float64 `json:"mean"`
	// Sigma is the standard deviation of the logarithm.
	Sigma float64 `json:"sigma"`
	Max   float64 `json:"max"`
}

// Call makes a Share of the requests call another kind while they run, Times times,
// either in sequence or concurrently (Together).
type Call struct {
	Kind     string  `json:"kind"`
	Times    int     `json:"times"`
	Share    float64 `json:"share"`
	Together bool    `json:"together"`
}

// Traffic describes the requests from the callers of one zone.
type Traffic struct {
	Zone      dfuident.Zone `json:"zone"`
	PerSecond float64       `json:"per_s"`
	// Mix weights the kinds of requests.
	Mix []WeightedKind `json:"mix"`
	// Swing is the amplitude of a sine wave around PerSecond, as a share of it.
	Swing    float64 `json:"swing"`
	PeriodMs float64 `json:"period_ms"`
	Phase    float64 `json:"phase"`
}

// WeightedKind is a kind of request and its weight.
type WeightedKind struct {
	Kind   string  `json:"kind"`
	Weight float64 `json:"weight"`
}

// Retry is the fleet-wide budget of additional attempts.
type Retry struct {
	Ratio   float64           `json:"ratio"`
	Reserve float64           `json:"reserve"`
	Window  dfuclock.Duration `json:"window_ms"`
}

// Goal holds the weights of the parts of a run's worth. ZoneGigabyte and RegionGigabyte
// price a gigabyte between zones and regions in worth of requests.
type Goal struct {
	Mean           float64 `json:"mean"`
	Windows        float64 `json:"windows"`
	WorstKind      float64 `json:"worst_kind"`
	Served         float64 `json:"served"`
	ZoneGigabyte   float64 `json:"zone_gigabyte"`
	RegionGigabyte float64 `json:"region_gigabyte"`
}
