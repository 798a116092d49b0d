// Package dfulog makes the structured log of a program: one JSON object a line
// on standard error.
package dfulog
