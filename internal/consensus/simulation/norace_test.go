//go:build !race

package simulation

const slow = false
