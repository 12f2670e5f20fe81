package raftlog

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"go.etcd.io/raft/v3"

	"cranegate/internal/consensus/statemachine"
)

// pendingRead is a read that waits for the result of the ReadIndex request with its sequence number, or of a later one.
// receivedAt is a tick.
type pendingRead struct {
	from, id, sequence, receivedAt uint64
	register                       string
}

// confirmation is the latest ReadIndex result: every entry that was committed at tick requestedAt is at or before index.
type confirmation struct{ index, sequence, requestedAt uint64 }

// startRead queues a read for the next ReadIndex request. It returns ErrOverloaded if maxPendingReads are queued.
func (v *Voter) startRead(from uint64, request *Request) error {
	if len(v.pendingReads) >= maxPendingReads {
		return ErrOverloaded
	}
	v.pendingReads = append(v.pendingReads, pendingRead{
		from:       from,
		id:         request.ReadID,
		register:   request.Register,
		sequence:   v.readIndexSequence + 1,
		receivedAt: v.tick,
	})
	return nil
}

// requestReadIndex asks a quorum for the current commit index, if a read waits for it or readIndexTicks have passed. The
// request context carries the voter's identity and the seed of this start, so that the voter does not use a result that is
// for another voter or for a request from before a restart.
func (v *Voter) requestReadIndex() {
	hasWaitingRead := slices.ContainsFunc(v.pendingReads, func(r pendingRead) bool { return r.sequence == v.readIndexSequence+1 })
	hasLeader := v.rawNode.BasicStatus().Lead != 0
	if !hasLeader || !hasWaitingRead && v.tick%readIndexTicks != 0 {
		return
	}
	v.readIndexSequence++
	v.readIndexRequestedAt[v.readIndexSequence] = v.tick
	delete(v.readIndexRequestedAt, v.readIndexSequence-maxReadIndexRequests)
	v.rawNode.ReadIndex(v.readIndexContext(v.readIndexSequence))
}

// readIndexContext returns the context of a ReadIndex request: identity, seed and sequence, 8 bytes each, big-endian.
func (v *Voter) readIndexContext(sequence uint64) []byte {
	context := binary.BigEndian.AppendUint64(nil, v.options.ID)
	context = binary.BigEndian.AppendUint64(context, v.options.Seed)
	return binary.BigEndian.AppendUint64(context, sequence)
}

// handleReadState records the result of a ReadIndex request. It ignores a result that is not for this voter and this start.
func (v *Voter) handleReadState(readState raft.ReadState) {
	context := readState.RequestCtx
	if len(context) != 24 {
		return
	}
	sequence := binary.BigEndian.Uint64(context[16:])
	if !bytes.Equal(context, v.readIndexContext(sequence)) {
		return
	}
	if requestedAt, ok := v.readIndexRequestedAt[sequence]; ok && sequence > v.confirmation.sequence {
		v.confirmation = confirmation{index: readState.Index, sequence: sequence, requestedAt: requestedAt}
	}
}

// age returns an upper bound of the age of the applied state, or UnknownAge.
func (v *Voter) age() time.Duration {
	if v.confirmation.sequence == 0 || v.confirmation.index > v.state.Index {
		return UnknownAge
	}
	return time.Duration(v.tick-v.confirmation.requestedAt+1) * TickInterval
}

// respondToReads answers the reads that a quorum has confirmed.
func (v *Voter) respondToReads() {
	if v.confirmation.index > v.state.Index {
		return
	}
	v.pendingReads = slices.DeleteFunc(v.pendingReads, func(r pendingRead) bool {
		if r.sequence > v.confirmation.sequence {
			return false
		}
		response := &Response{ReadID: r.id, ReadResult: readRegister(v.state, r.register, v.age())}
		v.send(Message{To: r.from, Kind: ResponseKind, Response: response})
		return true
	})
}

// readRegister reads a register from a state of the given age.
func readRegister(state *statemachine.State, register string, age time.Duration) ReadResult {
	value, settled, found := state.Get(register)
	return ReadResult{Register: value, Found: found, Settled: settled, Index: state.Index, Age: age}
}
