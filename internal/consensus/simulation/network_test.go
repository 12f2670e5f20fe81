package simulation

import (
	"slices"
	"time"

	"cranegate/internal/consensus/raftlog"
)

const (
	lostPercent       = 8
	duplicatedPercent = 4
	delayedPercent    = 5
	delayFactor       = 100 // by which the delay of a delayed message is longer
	maxDelayMillis    = 30  // of a message that is not delayed further
	encodeInterval    = 16  // one message in this many is encoded and decoded
)

// delivery is a message in flight.
type delivery struct {
	arrivesAt time.Duration
	message   raftlog.Message
}

// indexOf returns the index of the gateway whose voter or running replica has an identity, -1 if there is none.
func (f *fleet) indexOf(id uint64) int {
	return slices.IndexFunc(f.gateways, func(g *gateway) bool {
		return g.id == id || g.replica != nil && g.running && id == g.replica.ID()
	})
}

// hasFaults reports whether faults are injected now.
func (f *fleet) hasFaults() bool { return f.now < f.faultTime }

// sendMessage puts a message into the network, which may lose, duplicate or delay it.
func (f *fleet) sendMessage(message raftlog.Message) {
	f.checker.checkVotes(message)
	f.sentCount++
	if f.sentCount%encodeInterval == 0 {
		decoded, err := encodeAndDecode(message)
		if err != nil {
			f.checker.fail("encoding a message: %v", err)
			return
		}
		message = decoded
	}
	if f.hasFaults() && f.rng.IntN(100) < lostPercent {
		return
	}
	copies := 1
	if f.hasFaults() && f.rng.IntN(100) < duplicatedPercent {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+f.rng.IntN(maxDelayMillis)) * time.Millisecond
		if f.hasFaults() && f.rng.IntN(100) < delayedPercent {
			delay *= delayFactor
		}
		f.inFlight = append(f.inFlight, delivery{f.now + delay, message})
	}
}

func encodeAndDecode(message raftlog.Message) (raftlog.Message, error) {
	encoded, err := message.Encode()
	if err != nil {
		return raftlog.Message{}, err
	}
	return raftlog.Decode(encoded)
}

// deliver delivers the messages that have arrived.
func (f *fleet) deliver() {
	remaining := f.inFlight[:0]
	var arrived []raftlog.Message
	for _, d := range f.inFlight {
		if d.arrivesAt <= f.now {
			arrived = append(arrived, d.message)
		} else {
			remaining = append(remaining, d)
		}
	}
	f.inFlight = remaining
	for _, message := range arrived {
		if i := slices.IndexFunc(f.clients, func(c *client) bool { return c.id == message.To }); i >= 0 {
			f.clients[i].handleResponse(message)
			continue
		}
		f.deliverToGateway(message)
	}
}

// deliverToGateway puts a message into a gateway's inbox. It drops the message if there is a partition between the gateways,
// or if the receiver is not running or its inbox is full.
func (f *fleet) deliverToGateway(message raftlog.Message) {
	to, from := f.indexOf(message.To), f.indexOf(message.From)
	if to < 0 || f.partitions[[2]int{from, to}] > f.now || !f.gateways[to].running {
		return
	}
	if g := f.gateways[to]; len(g.inbox) < maxInbox {
		g.inbox = append(g.inbox, message)
	}
}
