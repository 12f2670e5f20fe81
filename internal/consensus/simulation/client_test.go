package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"cranegate/internal/consensus/raftlog"
	"cranegate/internal/consensus/statemachine"
)

// client asks until it is answered, always with the same key. The first moves "r" from owner to owner, the others work on
// registers for the history.
type client struct {
	f      *fleet
	id     uint64
	moves  bool
	seq    uint64
	reads  uint64
	index  uint64 // the last place that it heard of
	cmd    statemachine.Command
	read   bool
	name   string
	open   bool
	began  time.Duration
	asked  time.Duration
	waitTo time.Duration
	phase  int
	ops    []porcupine.Operation
}

type input struct {
	name   string
	read   bool
	expect uint64
	any    bool
	value  string
}

type output struct {
	known   bool
	code    statemachine.Code
	version uint64
	value   string
}

func newClient(f *fleet, id uint64, moves bool) *client { return &client{f: f, id: id, moves: moves} }

func (c *client) step() {
	if c.open {
		if c.f.now-c.asked > 700*time.Millisecond {
			c.send()
		}
		return
	}
	if c.f.now < c.waitTo {
		return
	}
	c.open, c.began, c.read = true, c.f.now, false
	c.name = fmt.Sprint("k", c.f.rng.IntN(2))
	if c.read = !c.moves && c.f.rng.IntN(3) == 0; !c.read {
		c.seq++
		c.cmd = statemachine.Command{Key: statemachine.Key{Client: c.id, Seq: c.seq}, BornIndex: c.index, ReceivedSeq: c.seq - 1, Op: statemachine.Set, Name: c.name,
			Value: fmt.Append(nil, c.id, "-", c.seq), AnyVersion: c.f.rng.IntN(2) == 0, ExpectedVersion: uint64(c.f.rng.IntN(4)) + uint64(len(c.ops))/2}
		if c.moves {
			c.cmd.Name, c.cmd.AnyVersion = "r", true
			if c.cmd.Op, c.cmd.Value = statemachine.Restrict, []byte("nobody"); c.phase%2 == 1 {
				c.cmd.Op, c.cmd.Value = statemachine.Relax, []byte(c.f.all[c.f.rng.IntN(len(c.f.all))].Name)
			}
		}
	}
	c.send()
}

func (c *client) send() {
	c.asked = c.f.now
	ask := &raftlog.Request{}
	if c.read {
		c.reads++
		ask.ReadID, ask.Register = c.reads, c.name
	} else {
		ask.Command, _ = c.cmd.Encode()
	}
	council := c.f.councilNow()
	c.f.send(raftlog.Message{ClusterID: c.f.council, From: c.id, To: council[c.f.rng.IntN(len(council))], Kind: raftlog.RequestKind, Request: ask})
}

func (c *client) answered(m raftlog.Message) {
	a := m.Response
	if !c.open || a == nil || c.read && (a.ReadID == 0 || a.ReadID != c.reads) || !c.read && a.Key != c.cmd.Key || a.Result.Code == statemachine.Undecided {
		return
	}
	out := output{known: true, code: a.Result.Code, version: a.Result.Version}
	if c.read {
		out.version, out.value = a.Reading.Register.Version, string(a.Reading.Register.Value)
		c.index = max(c.index, a.Reading.Index)
	}
	c.index = max(c.index, a.Result.Index)
	c.log(c.f.now, out)
	c.open, c.waitTo = false, c.f.now+time.Duration(c.f.rng.IntN(3000))*time.Millisecond
	if c.moves && a.Result.Code == statemachine.OK {
		c.phase++
		c.waitTo = c.f.now + time.Duration(c.f.rng.IntN(6000))*time.Millisecond
	}
}

func (c *client) log(at time.Duration, out output) {
	if c.moves {
		return
	}
	in := input{name: c.name, read: c.read}
	if !c.read {
		in.expect, in.any, in.value = c.cmd.ExpectedVersion, c.cmd.AnyVersion, string(c.cmd.Value)
	}
	c.ops = append(c.ops, porcupine.Operation{ClientId: int(c.id) - 1000, Input: in, Call: int64(c.began), Output: out, Return: int64(at)})
}

type value struct {
	version uint64
	text    string
}

var registers = porcupine.Model{
	Partition: func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[string]int{}
		for _, op := range all {
			name := op.Input.(input).name
			if _, ok := by[name]; !ok {
				by[name] = len(parts)
				parts = append(parts, nil)
			}
			parts[by[name]] = append(parts[by[name]], op)
		}
		return parts
	},
	Init: func() any { return value{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(value), in.(input), out.(output)
		switch {
		case i.read:
			return !o.known || o.version == s.version && o.value == s.text, s
		case !i.any && i.expect != s.version:
			return !o.known || o.code == statemachine.Conflict && o.version == s.version, s
		}
		s = value{s.version + 1, i.value}
		return !o.known || o.code == statemachine.OK && o.version == s.version, s
	},
}

// linearizable holds all that clients asked and heard against registers. What was never answered may have come to pass at any time.
func (j *judge) linearizable() {
	var all []porcupine.Operation
	for _, c := range j.f.clients {
		if c.open {
			c.log(math.MaxInt64, output{})
		}
		all = append(all, c.ops...)
	}
	if len(all) < 10 {
		j.fail("%d operations", len(all))
	}
	if r := porcupine.CheckOperationsTimeout(registers, all, 5*time.Second); r != porcupine.Ok {
		j.fail("the history of %d operations is not linearizable: %v", len(all), r)
	}
}
