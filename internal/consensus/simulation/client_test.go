package simulation

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"cranegate/internal/consensus/raftlog"
	"cranegate/internal/consensus/statemachine"
)

const (
	firstClientID      = 1000
	retryInterval      = 700 * time.Millisecond
	maxIdleMillis      = 3000 // between a response and the next request
	maxOwnershipMillis = 6000 // between two changes of the owner, in place of maxIdleMillis
)

// client sends one request at a time and retries it with the same key until it gets a response. The first client changes the
// owner; the others set and read registers, and their history is checked.
type client struct {
	fleet        *fleet
	id           uint64
	changesOwner bool
	seq          uint64
	lastReadID   uint64
	knownIndex   uint64 // the latest log index in a response
	command      statemachine.Command
	isRead       bool
	register     string
	waiting      bool // for a response
	startedAt    time.Duration
	sentAt       time.Duration
	idleUntil    time.Duration
	ownerChanges int
	operations   []porcupine.Operation
}

func newClient(f *fleet, id uint64, changesOwner bool) *client {
	return &client{fleet: f, id: id, changesOwner: changesOwner}
}

// step retries the pending request, or starts the next one.
func (c *client) step() {
	if c.waiting {
		if c.fleet.now-c.sentAt > retryInterval {
			c.send()
		}
		return
	}
	if c.fleet.now < c.idleUntil {
		return
	}
	c.waiting, c.startedAt = true, c.fleet.now
	c.register = fmt.Sprint("k", c.fleet.rng.IntN(2))
	c.isRead = !c.changesOwner && c.fleet.rng.IntN(3) == 0
	if !c.isRead {
		c.seq++
		c.command = c.nextCommand()
	}
	c.send()
}

// nextCommand returns a random command or, for the client that changes the owner, a Restrict and a Relax in turn.
func (c *client) nextCommand() statemachine.Command {
	rng := c.fleet.rng
	command := statemachine.Command{
		Key:             statemachine.Key{Client: c.id, Seq: c.seq},
		CreatedIndex:    c.knownIndex,
		ReceivedSeq:     c.seq - 1,
		Op:              statemachine.Set,
		Name:            c.register,
		Value:           fmt.Append(nil, c.id, "-", c.seq),
		AnyVersion:      rng.IntN(2) == 0,
		ExpectedVersion: uint64(rng.IntN(4)) + uint64(len(c.operations))/2,
	}
	if !c.changesOwner {
		return command
	}
	command.Name, command.AnyVersion = ownerRegister, true
	if c.ownerChanges%2 == 0 {
		command.Op, command.Value = statemachine.Restrict, []byte("nobody")
	} else {
		owner := c.fleet.gateways[rng.IntN(len(c.fleet.gateways))]
		command.Op, command.Value = statemachine.Relax, []byte(owner.Name)
	}
	return command
}

// send sends the pending request to a random voter. A read gets a new ID with every attempt.
func (c *client) send() {
	c.sentAt = c.fleet.now
	request := &raftlog.Request{}
	if c.isRead {
		c.lastReadID++
		request.ReadID, request.Register = c.lastReadID, c.register
	} else {
		request.Command, _ = c.command.Encode()
	}
	voters := c.fleet.currentVoters()
	to := voters[c.fleet.rng.IntN(len(voters))]
	c.fleet.sendMessage(raftlog.Message{ClusterID: c.fleet.clusterID, From: c.id, To: to, Kind: raftlog.RequestKind, Request: request})
}

func (c *client) handleResponse(message raftlog.Message) {
	response := message.Response
	if !c.expects(response) {
		return
	}
	result := operationOutput{known: true, code: response.Result.Code, version: response.Result.Version}
	if c.isRead {
		result.version = response.ReadResult.Register.Version
		result.value = string(response.ReadResult.Register.Value)
		c.knownIndex = max(c.knownIndex, response.ReadResult.Index)
	}
	c.knownIndex = max(c.knownIndex, response.Result.Index)
	c.record(c.fleet.now, result)
	c.waiting = false
	c.idleUntil = c.fleet.now + time.Duration(c.fleet.rng.IntN(maxIdleMillis))*time.Millisecond
	if c.changesOwner && response.Result.Code == statemachine.OK {
		c.ownerChanges++
		c.idleUntil = c.fleet.now + time.Duration(c.fleet.rng.IntN(maxOwnershipMillis))*time.Millisecond
	}
}

// expects reports whether a response completes the pending request. The client retries after Undecided.
func (c *client) expects(response *raftlog.Response) bool {
	if !c.waiting || response == nil || response.Result.Code == statemachine.Undecided {
		return false
	}
	if c.isRead {
		return response.ReadID != 0 && response.ReadID == c.lastReadID
	}
	return response.Key == c.command.Key
}
