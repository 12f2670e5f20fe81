//go:build !race

package routing

// rampSeeds is how many seeds of each day are played with cold members.
const rampSeeds = 50
