//go:build race

package simulation

// raceDetectorEnabled reports whether the race detector is on. It makes a run ten times as long, so scenarios are shorter then.
const raceDetectorEnabled = true
