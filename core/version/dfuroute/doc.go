// Package dfuroute decides by which route a request is served.
//
// Operators give routes as one table with one version. A table is checked
// whole, with every finding at its JSON path, and never changed afterwards: a
// newer version replaces it. Of the routes of a host the one with the longest
// prefix of the path applies.
package dfuroute
