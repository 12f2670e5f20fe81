package fdpass

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the run if a goroutine is still running after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
