// Package dfurelaystandin simulates the network between processes. It relays TCP
// connections with the delay between two places, partitions places from each
// other, and silences open connections while new ones work.
package dfurelaystandin
