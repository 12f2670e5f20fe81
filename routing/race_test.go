//go:build race

package routing

// fleetSeeds is the number of seeds of each slow start scenario: the race detector takes ten times as long.
const fleetSeeds = 6
