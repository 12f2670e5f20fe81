package core

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the run if a goroutine is left when the tests have ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
