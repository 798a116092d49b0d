// Package dfuroute selects the route that applies to a request.
//
// Operators provide all routes as one versioned table. A table is fully
// validated, with each finding at its JSON path, and is immutable: a newer
// version replaces it. Of the routes of a host, the one with the longest
// matching path prefix applies.
package dfuroute
