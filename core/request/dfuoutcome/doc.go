// Package dfuoutcome defines the three outcomes of a request and the reasons for them.
package dfuoutcome
