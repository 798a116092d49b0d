package dfutarget

import (
	"iter"
	"strings"

	"github.com/valyala/fasthttp"
)

// ConnectionOptionNames are the header names that are listed in the Connection
// fields of one message.
type ConnectionOptionNames []string

// ConnectionOptions returns the names that are listed in the Connection fields
// among fields.
func ConnectionOptions(fields iter.Seq2[[]byte, []byte]) ConnectionOptionNames {
	var names ConnectionOptionNames
	for name, value := range fields {
		if string(name) != fasthttp.HeaderConnection {
			continue
		}
		for token := range strings.SplitSeq(string(value), ",") {
			names = append(names, strings.TrimSpace(token))
		}
	}
	return names
}

// IsHopByHop reports whether a header is hop-by-hop, either as defined by HTTP
// or because it is listed in h. Hop-by-hop headers are not forwarded.
func (n ConnectionOptionNames) IsHopByHop(name string) bool {
	switch name {
	case fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyConnection,
		fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization, "Te",
		fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade:
		return true
	default:
	}
	for _, hop := range n {
		if strings.EqualFold(hop, name) {
			return true
		}
	}
	return false
}
