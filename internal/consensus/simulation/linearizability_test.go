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

// operationInput is a request in the history.
type operationInput struct {
	register        string
	isRead          bool
	expectedVersion uint64
	anyVersion      bool
	value           string
}

// operationOutput is the response in the history; known is false if the client got none.
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

// registerModel is the sequential specification of registers.
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

// stepRegister reports whether an output is possible in a state, and returns the next state.
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

// record adds the pending request to the history, with its response. Changes of the owner are left out.
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
