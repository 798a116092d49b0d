// Package dfulog builds the structured log of a program, with one JSON object per
// line. Writes never block the caller.
package dfulog
