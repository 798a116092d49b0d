// Package dfufinding collects the errors in an input, each with its place, so
// that they can be reported together.
package dfufinding
