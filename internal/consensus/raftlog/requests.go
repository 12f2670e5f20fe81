package raftlog

import (
	"fmt"
	"maps"
	"slices"

	"cranegate/internal/consensus/codec"
	"cranegate/internal/consensus/statemachine"
)

// pendingRequest is a command that was proposed here and is not applied yet. receivedAt is a tick.
type pendingRequest struct{ from, receivedAt uint64 }

// handleRequest starts a read or proposes a command. A command that was applied before gets its stored result.
func (v *Voter) handleRequest(message Message) error {
	request := message.Request
	if request == nil {
		return codec.ErrMalformed
	}
	if request.ReadID != 0 {
		return v.startRead(message.From, request)
	}
	command, err := statemachine.Decode(request.Command)
	if err != nil || command.Op == statemachine.Renew {
		return fmt.Errorf("%w: requested by gateway %d: %w", statemachine.ErrInvalidCommand, message.From, err)
	}
	if result, ok := v.state.StoredResult(command.Key); ok && !v.options.InjectedFaults.SkipDeduplication {
		v.send(Message{To: message.From, Kind: ResponseKind, Response: &Response{Key: command.Key, Result: result}})
		return nil
	}
	if _, ok := v.pendingRequests[command.Key]; !ok && len(v.pendingRequests) >= maxPendingRequests {
		return ErrOverloaded
	}
	if err := v.rawNode.Propose(request.Command); err != nil {
		return fmt.Errorf("%w: %w", ErrOverloaded, err)
	}
	v.pendingRequests[command.Key] = pendingRequest{from: message.From, receivedAt: v.tick}
	return nil
}

// respond sends the result of a command to the gateway that requested it from this voter.
func (v *Voter) respond(key statemachine.Key, result statemachine.Result) {
	if pending, ok := v.pendingRequests[key]; ok {
		delete(v.pendingRequests, key)
		v.send(Message{To: pending.from, Kind: ResponseKind, Response: &Response{Key: key, Result: result}})
	}
}

// expireRequests drops requests that have waited for requestTimeoutTicks; their clients retry.
func (v *Voter) expireRequests() {
	expired := func(receivedAt uint64) bool { return v.tick-receivedAt >= requestTimeoutTicks }
	maps.DeleteFunc(v.pendingRequests, func(_ statemachine.Key, request pendingRequest) bool { return expired(request.receivedAt) })
	v.pendingReads = slices.DeleteFunc(v.pendingReads, func(read pendingRead) bool { return expired(read.receivedAt) })
}
