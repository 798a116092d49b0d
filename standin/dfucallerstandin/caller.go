package dfucallerstandin

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"dragonflyusher/standin/dfutargetstandin"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// maxLatencyUS is the greatest latency that a histogram tells apart.
const maxLatencyUS = 60_000_000

// Config describes the calls to make.
type Config struct {
	// Nodes are the HTTP addresses to call in turn; with Direct they are
	// addresses of targets.
	Nodes    []string
	Services []string
	// Calls is the number of calls for each service.
	Calls       int
	Concurrency int
	DeadlineMS  int
	URI         string
	Body        []byte
	// Pause is the time between two calls of one worker.
	Pause time.Duration
	// Direct says that the calls go to targets, past the nodes.
	Direct bool
}

// Summary tells what came of the calls for one service.
type Summary struct {
	Service  string         `json:"service"`
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons,omitempty"`
	// Wrong counts answers that do not belong to their request.
	Wrong  int   `json:"wrong"`
	P50US  int64 `json:"p50_us"`
	P99US  int64 `json:"p99_us"`
	P999US int64 `json:"p999_us"`
	// NotRun holds the keys of the calls that were told not_run.
	NotRun    []string `json:"-"`
	histogram *hdrhistogram.Histogram
}

// Run makes the calls and returns a summary for each service.
func Run(cfg Config) []Summary {
	client := &fasthttp.Client{MaxConnsPerHost: 4096, MaxIdemponentCallAttempts: 1}
	summaries := make([]Summary, len(cfg.Services))
	for i, service := range cfg.Services {
		summaries[i] = run(client, cfg, service)
	}
	return summaries
}

// run makes the calls for one service, by several workers at a time.
func run(client *fasthttp.Client, cfg Config, service string) Summary {
	total := Summary{
		Service:   service,
		Outcomes:  map[string]int{},
		Reasons:   map[string]int{},
		histogram: hdrhistogram.New(1, maxLatencyUS, 3),
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for worker := range cfg.Concurrency {
		wg.Go(func() {
			for call := worker; call < cfg.Calls; call += cfg.Concurrency {
				result := callOnce(client, cfg, service, cfg.Nodes[call%len(cfg.Nodes)])
				mu.Lock()
				total.add(result)
				mu.Unlock()
				time.Sleep(cfg.Pause)
			}
		})
	}
	wg.Wait()
	total.P50US = total.histogram.ValueAtQuantile(50)
	total.P99US = total.histogram.ValueAtQuantile(99)
	total.P999US = total.histogram.ValueAtQuantile(99.9)
	return total
}

// result is what came of one call.
type result struct {
	outcome string
	reason  string
	wrong   bool
	key     string
	latency time.Duration
}

func (s *Summary) add(r result) {
	s.Outcomes[r.outcome]++
	if r.reason != "" {
		s.Reasons[r.reason]++
	}
	if r.wrong {
		s.Wrong++
	}
	if r.outcome == "not_run" {
		s.NotRun = append(s.NotRun, r.key)
	}
	_ = s.histogram.RecordValue(r.latency.Microseconds())
}

func callOnce(client *fasthttp.Client, cfg Config, service, node string) result {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	key := uuid.Must(uuid.NewV7()).String()
	req.SetRequestURI("http://" + node + cfg.URI)
	req.Header.Set("Dragonflyusher-Service", service)
	req.Header.Set("Dragonflyusher-Deadline-Ms", strconv.Itoa(cfg.DeadlineMS))
	req.Header.Set("Idempotency-Key", key)
	if len(cfg.Body) > 0 {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyRaw(cfg.Body)
	}
	started := time.Now()
	err := client.Do(req, resp)
	r := result{key: key, latency: time.Since(started)}
	switch {
	case err != nil:
		r.outcome, r.reason = "no_answer", err.Error()
	case cfg.Direct:
		r.outcome = "answered"
	default:
		r.outcome = string(resp.Header.Peek("Dragonflyusher-Outcome"))
		r.reason = string(resp.Header.Peek("Dragonflyusher-Reason"))
		r.wrong = r.outcome == "answered" && !matches(resp, cfg, service, key)
	}
	return r
}

// matches reports whether the answer was made for the request.
func matches(resp *fasthttp.Response, cfg Config, service, key string) bool {
	var report dfutargetstandin.Report
	if json.Unmarshal(resp.Body(), &report) != nil {
		return false
	}
	return report.Service == service &&
		report.Key == key &&
		report.URI == cfg.URI &&
		report.RequestID == string(resp.Header.Peek("Dragonflyusher-Request-Id")) &&
		report.BodySum == strconv.FormatUint(xxhash.Sum64(cfg.Body), 16)
}

// Wait calls until every node has answered for every service.
func Wait(cfg Config, limit time.Duration) error {
	client := &fasthttp.Client{MaxConnsPerHost: 4096, MaxIdemponentCallAttempts: 1}
	deadline := time.Now().Add(limit)
	for _, node := range cfg.Nodes {
		for _, service := range cfg.Services {
			last := callOnce(client, cfg, service, node)
			for ; last.outcome != "answered"; last = callOnce(client, cfg, service, node) {
				if time.Now().After(deadline) {
					return errors.Newf("node %s does not answer for %s: %s %s", node, service, last.outcome, last.reason)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}
