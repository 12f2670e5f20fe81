//go:build !race

package simulation

const raceDetectorEnabled = false
