//go:build !race

package routing

// fleetSeeds is how many seeds of each day are played with cold members.
const fleetSeeds = 50
