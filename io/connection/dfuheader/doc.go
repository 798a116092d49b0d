// Package dfuheader checks the headers and trailers of HTTP/1.1 messages against the
// grammar of RFC 9112. fasthttp's parser accepts more: names with spaces, spaces behind
// names, folded lines and bare line feeds, so that the next reader may find other fields
// or another end.
package dfuheader
