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

// maxLatencyUS is the upper limit of the latency histograms, in microseconds.
// Greater latencies are not recorded.
const maxLatencyUS = 60_000_000

// Config describes the calls to make.
type Config struct {
	// Nodes are the HTTP addresses of the nodes to call in turn, or of targets if
	// Direct is set.
	Nodes    []string
	Services []string
	// Calls is the number of calls to each service.
	Calls int
	// Concurrency is the number of workers, each of which makes one call at a time.
	Concurrency int
	// DeadlineMS is the deadline of a call in milliseconds.
	DeadlineMS int
	// URI is the path and query of a call.
	URI string
	// Body is the request body. If it is empty, the method is GET, otherwise POST.
	Body []byte
	// Pause is the time that a worker sleeps after each call.
	Pause time.Duration
	// Direct is set if the calls bypass the nodes and go to targets. Every response
	// then counts as answered.
	Direct bool
}

// Summary is the aggregated result of the calls to one service.
type Summary struct {
	Service string `json:"service"`
	// Outcomes and Reasons are the numbers of calls by outcome and by reason. The
	// reason of a call without a response is the text of the error.
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons,omitempty"`
	// Wrong is the number of answers that do not match their request.
	Wrong int `json:"wrong"`
	// P50US, P99US and P999US are percentiles of the latency in microseconds.
	P50US  int64 `json:"p50_us"`
	P99US  int64 `json:"p99_us"`
	P999US int64 `json:"p999_us"`
	// NotRun holds the idempotency keys of the calls with the outcome not_run.
	NotRun    []string `json:"-"`
	histogram *hdrhistogram.Histogram
}

// Run calls the services one after the other and returns a summary for each, in the
// order of cfg.Services.
func Run(cfg Config) []Summary {
	client := &fasthttp.Client{MaxConnsPerHost: 4096, MaxIdemponentCallAttempts: 1}
	summaries := make([]Summary, len(cfg.Services))
	for i, service := range cfg.Services {
		summaries[i] = callService(client, cfg, service)
	}
	return summaries
}

// callService makes all calls to one service from concurrent workers.
func callService(client *fasthttp.Client, cfg Config, service string) Summary {
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

// result is the result of one call.
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

// callOnce makes one call with a new idempotency key.
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

// matches reports whether the body of the answer is a report on the request.
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

// Wait calls each service through each node, every 50 ms, until the call is answered.
// It fails if that takes longer than limit in total.
func Wait(cfg Config, limit time.Duration) error {
	client := &fasthttp.Client{MaxConnsPerHost: 4096, MaxIdemponentCallAttempts: 1}
	deadline := time.Now().Add(limit)
	for _, node := range cfg.Nodes {
		for _, service := range cfg.Services {
			last := callOnce(client, cfg, service, node)
			for ; last.outcome != "answered"; last = callOnce(client, cfg, service, node) {
				if time.Now().After(deadline) {
					return errors.Newf("node %s did not answer a call to service %s in time: %s %s", node, service, last.outcome, last.reason)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}
