// Package dfurelaystandin plays the network between processes: it relays TCP
// connections with the delay between two places, cuts places off from each
// other, and lets open connections go silent while new ones work.
package dfurelaystandin
