package dfuoperator

import (
	"cmp"
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfustatus"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxParallelNodes is the maximum number of concurrent requests to nodes.
	maxParallelNodes = 16
	// maxNodeAnswerBytes is the maximum size of a node's response body.
	maxNodeAnswerBytes = 16 << 20
)

// nodeClient reads the status pages of nodes over HTTP.
type nodeClient struct {
	http    *fasthttp.Client
	timeout time.Duration
}

func newNodeClient(s settings) *nodeClient {
	return &nodeClient{
		http: &fasthttp.Client{
			MaxResponseBodySize:      maxNodeAnswerBytes,
			NoDefaultUserAgentHeader: true,
		},
		timeout: s.Timeout.Std(),
	}
}

// get reads a page of a node and decodes its JSON body into answer. Every error
// is marked with dfustore.ErrUnavailable, for the exit status.
func (c *nodeClient) get(ctx context.Context, address dfuident.Address, path string, query url.Values, answer any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + string(address) + path + "?" + query.Encode())
	return c.do(ctx, address, request, answer)
}

// post sends a body to a page of a node and is otherwise like get.
func (c *nodeClient) post(ctx context.Context, address dfuident.Address, path string, body []byte, answer any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + string(address) + path)
	request.SetBody(body)
	return c.do(ctx, address, request, answer)
}

func (c *nodeClient) do(ctx context.Context, address dfuident.Address, request *fasthttp.Request, answer any) error {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	deadline := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return errors.Mark(errors.Wrapf(err, "node %s", address), dfustore.ErrUnavailable)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return errors.Wrapf(dfustore.ErrUnavailable, "node %s: status %d", address, status)
	}
	err := json.Unmarshal(response.Body(), answer)
	return errors.Mark(errors.Wrapf(err, "node %s", address), dfustore.ErrUnavailable)
}

// nodes returns the nodes listed by the node of the settings, sorted by id.
func (s *session) nodes(ctx context.Context, c *nodeClient) ([]dfustatus.Node, error) {
	if s.settings.Node == "" {
		return nil, badInput("set --node, or node in the settings file")
	}
	var nodes []dfustatus.Node
	if err := c.get(ctx, s.settings.Node, "/dragonflyusher/nodes", nil, &nodes); err != nil {
		return nil, err
	}
	slices.SortFunc(nodes, func(a, b dfustatus.Node) int { return cmp.Compare(a.Node, b.Node) })
	return nodes, nil
}

// forEachNode calls fetch with the index of each node, for up to
// maxParallelNodes nodes at a time.
func forEachNode(nodes []dfustatus.Node, fetch func(i int)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxParallelNodes)
	for i := range nodes {
		slots <- struct{}{}
		wait.Go(func() {
			fetch(i)
			<-slots
		})
	}
	wait.Wait()
}
