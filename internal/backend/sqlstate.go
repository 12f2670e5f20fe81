package backend

import (
	"strings"

	"cranegate/routing"
)

// The SQLSTATE codes, the same in both protocols, that prove that a statement has not run. With any other code it may have.
const (
	StateReadOnly           = "25006" // a write, and the host is not the primary
	StateBehind             = "72000" // a read, and the host lags too far behind
	StateTooManyConnections = "53300" // the host is over its capacity

	// stateClassInvalid is the SQLSTATE class of the errors of a statement that no host can execute.
	stateClassInvalid = "42"
)

// ResultOfState returns the result of an attempt that ended with an error of this SQLSTATE code.
func ResultOfState(state string) routing.Result {
	switch {
	case state == StateReadOnly, state == StateBehind:
		return routing.ResultMissed
	case state == StateTooManyConnections:
		return routing.ResultOverCapacity
	case strings.HasPrefix(state, stateClassInvalid):
		return routing.ResultInvalidStatement
	}
	return routing.ResultError
}
