// Package dfufinding collects what is wrong with an input, each finding with
// its place, so that all of it is reported together rather than one at a time.
package dfufinding
