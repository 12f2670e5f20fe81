//go:build !race

package routing

// fleetSeeds is the number of seeds of each slow start scenario.
const fleetSeeds = 50
