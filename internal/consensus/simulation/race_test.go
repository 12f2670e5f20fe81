//go:build race

package simulation

// slow says that the race detector is on, which makes a play ten times as long: fleets then live for less time.
const slow = true
