package simulation

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"cranegate/internal/consensus/statemachine"
)

const (
	minHistory           = 10 // operations
	linearizationTimeout = 5 * time.Second
)

// operationInput is the request of an operation in the history.
type operationInput struct {
	register        string
	isRead          bool
	expectedVersion uint64
	anyVersion      bool
	value           string
}

// operationOutput is the response to an operation in the history; known is false if the client got no response.
type operationOutput struct {
	known   bool
	code    statemachine.Code
	version uint64
	value   string
}

// registerValue is the state of one register in the model.
type registerValue struct {
	version uint64
	value   string
}

// registerModel is the sequential specification of the registers, against which the history is checked.
var registerModel = porcupine.Model{
	Partition: partitionByRegister,
	Init:      func() any { return registerValue{} },
	Step: func(state, input, output any) (bool, any) {
		ok, next := stepRegister(state.(registerValue), input.(operationInput), output.(operationOutput))
		return ok, next
	},
}

func partitionByRegister(history []porcupine.Operation) (partitions [][]porcupine.Operation) {
	indexes := map[string]int{}
	for _, operation := range history {
		register := operation.Input.(operationInput).register
		if _, ok := indexes[register]; !ok {
			indexes[register] = len(partitions)
			partitions = append(partitions, nil)
		}
		partitions[indexes[register]] = append(partitions[indexes[register]], operation)
	}
	return partitions
}

// stepRegister reports whether a register in a state can give an output for an input, and returns its next state.
func stepRegister(state registerValue, input operationInput, output operationOutput) (bool, registerValue) {
	switch {
	case input.isRead:
		return !output.known || output.version == state.version && output.value == state.value, state
	case !input.anyVersion && input.expectedVersion != state.version:
		return !output.known || output.code == statemachine.Conflict && output.version == state.version, state
	}
	next := registerValue{version: state.version + 1, value: input.value}
	return !output.known || output.code == statemachine.OK && output.version == next.version, next
}

// record adds the pending request and its response to the history. It leaves out changes of the owner.
func (c *client) record(returnedAt time.Duration, output operationOutput) {
	if c.changesOwner {
		return
	}
	input := operationInput{register: c.register, isRead: c.isRead}
	if !c.isRead {
		input.expectedVersion = c.command.ExpectedVersion
		input.anyVersion = c.command.AnyVersion
		input.value = string(c.command.Value)
	}
	c.operations = append(c.operations, porcupine.Operation{
		ClientId: int(c.id) - firstClientID,
		Input:    input,
		Call:     int64(c.startedAt),
		Output:   output,
		Return:   int64(returnedAt),
	})
}

// checkLinearizable checks the history of all clients. A request without a response may have been applied at any time.
func (c *checker) checkLinearizable() {
	var history []porcupine.Operation
	for _, client := range c.fleet.clients {
		if client.waiting {
			client.record(math.MaxInt64, operationOutput{})
		}
		history = append(history, client.operations...)
	}
	if len(history) < minHistory {
		c.fail("%d operations", len(history))
	}
	if result := porcupine.CheckOperationsTimeout(registerModel, history, linearizationTimeout); result != porcupine.Ok {
		c.fail("the history of %d operations is not linearizable: %v", len(history), result)
	}
}
