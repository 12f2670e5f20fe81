package backend_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the run if a goroutine has not ended with its owner.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
