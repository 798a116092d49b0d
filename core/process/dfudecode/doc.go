// Package dfudecode reads JSON strictly and reports everything that is wrong
// with it together, each finding with its line and column.
//
// The decoder of the standard library stops at the first unknown field and
// keeps no positions, so an operator would mend a file one error at a time.
package dfudecode
