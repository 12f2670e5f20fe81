//go:build race

package routing

// fleetSeeds is the number of seeds of each slow start scenario. It is small as the race detector takes ten
// times as long.
const fleetSeeds = 6
