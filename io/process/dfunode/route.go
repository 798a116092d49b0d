package dfunode

import (
	"encoding/json"

	"dragonflyusher/io/process/dfustatus"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// adminRoute answers where a request would go from this node now, without sending it.
func (n *Node) adminRoute(ctx *fasthttp.RequestCtx) {
	c := n.components.Load()
	if c == nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, errors.New("the node has not joined yet"))
		return
	}
	var described dfustatus.Request
	if err := json.Unmarshal(ctx.PostBody(), &described); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, errors.Wrap(err, "POST the request as JSON"))
		return
	}
	if described.BodyBytes < 0 || described.BodyBytes > n.settings.Limits.RequestBody {
		writeError(ctx, fasthttp.StatusBadRequest, errors.Newf("body_bytes must be from 0 to %d", n.settings.Limits.RequestBody))
		return
	}
	var caller fasthttp.RequestCtx
	h := &caller.Request.Header
	h.SetMethod(described.Method)
	h.SetRequestURI(described.URI)
	for _, field := range described.Headers {
		h.Add(field.Name, field.Value)
	}
	h.SetHost(described.Host)
	caller.Request.SetBody(make([]byte, described.BodyBytes))
	call, err := n.adapters.Callers.ParseCall(&caller)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	writeJSON(ctx, c.dispatcher.Preview(call))
}
