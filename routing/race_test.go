//go:build race

package routing

// fleetSeeds is how many seeds of each day are played with cold members: memory is watched, which takes ten times as long.
const fleetSeeds = 6
