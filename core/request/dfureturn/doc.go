// Package dfureturn tells for how long the caller of a request has been waiting.
//
// A caller says how much time it has left, not when it began. One that was refused
// and comes back has less left than on its first try, but its answer is worth most
// within the same objective. The package learns for each route how much time callers
// have on their first try and takes what is missing for the time that has passed.
package dfureturn
