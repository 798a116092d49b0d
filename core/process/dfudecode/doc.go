// Package dfudecode decodes JSON strictly and reports all errors together, each
// with its line and column.
//
// The decoder of the standard library stops at the first unknown field and does
// not report positions, so a file with several errors would have to be fixed
// one error at a time.
package dfudecode
