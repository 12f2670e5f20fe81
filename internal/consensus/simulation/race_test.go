//go:build race

package simulation

// raceDetectorEnabled reports whether the race detector is on, which makes a run ten times as long: scenarios are shorter then.
const raceDetectorEnabled = true
