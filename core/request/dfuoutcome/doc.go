// Package dfuoutcome names the three outcomes of a request and the reasons
// that go with them.
package dfuoutcome
