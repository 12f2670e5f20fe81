package statemachine

import (
	"bytes"
	"maps"
	"slices"
)

// Apply takes the command at the next place in the order. What is empty or no command (the order has places of its own)
// changes nothing but Index. ok is false where there is nobody to answer.
func (s *State) Apply(index uint64, text []byte) (k Key, r Result, ok bool) {
	s.Index = index
	s.chain(text)
	if len(text) == 0 {
		return Key{}, Result{}, false
	}
	c, err := Decode(text)
	if err != nil { // the same everywhere: it depends on the text alone
		return Key{}, Result{}, false
	}
	if c.Op == Renew {
		s.renew(c)
		return Key{}, Result{}, false
	}
	return c.Key, s.once(c), true
}

// once serves a request that was not served before. Why a request can't be served twice: it is refused from Expiry places
// after Born on, and its client is kept for Expiry places after the request was served, which was after Born.
func (s *State) once(c Command) Result {
	if s.Flaws.NoDedup {
		return s.serve(c)
	}
	if r, ok := s.Answer(c.Key); ok {
		return r
	}
	if c.Born > s.Index || s.Index-c.Born > Expiry {
		return Result{Code: Expired, Index: s.Index}
	}
	p := s.clients[c.Key.Client]
	if p == nil {
		if len(s.clients) >= MaxClients {
			s.expire()
		}
		if len(s.clients) >= MaxClients {
			return Result{Code: Open, Index: s.Index}
		}
		p = &client{ID: c.Key.Client}
		s.clients[p.ID] = p
	}
	p.Used = s.Index
	if c.Key.Seq <= p.Floor {
		return Result{Code: Released, Index: s.Index}
	}
	p.release(c.Done)
	if len(p.Seqs) >= Window {
		return Result{Code: Open, Index: s.Index}
	}
	r := s.serve(c)
	p.Seqs, p.Results = append(p.Seqs, c.Key.Seq), append(p.Results, r)
	return r
}

// release drops the results up to a count.
func (p *client) release(done uint64) {
	p.Floor = max(p.Floor, done)
	var seqs []uint64
	var results []Result
	for i, q := range p.Seqs {
		if q > p.Floor {
			seqs, results = append(seqs, q), append(results, p.Results[i])
		}
	}
	p.Seqs, p.Results = seqs, results
}

// expire drops the clients that were not heard of for more than Expiry places.
func (s *State) expire() {
	maps.DeleteFunc(s.clients, func(_ uint64, p *client) bool { return s.Index-p.Used > Expiry })
}

func (s *State) serve(c Command) Result {
	r := s.regs[c.Name]
	var version uint64
	if r != nil {
		version = r.Version
	}
	answer := func(code Code) Result { return Result{Code: code, Index: s.Index, Version: version} }
	switch {
	case !c.Any && c.Expect != version:
		return answer(Conflict)
	case (c.Op == Remove || c.Op == Withdraw) && r == nil, c.Op == Withdraw && r.Next == nil:
		return answer(Missing)
	case c.Op != Withdraw && r != nil && (r.Next != nil || c.Op == Remove && r.Narrow && s.Waits(r.Index)):
		return answer(Busy)
	case c.Op == Narrow && len(s.narrows) >= MaxNarrowings:
		return answer(Full)
	}
	if c.Op == Remove {
		s.size -= r.bytes()
		delete(s.regs, c.Name)
		return answer(OK)
	}
	if c.Op == Withdraw {
		s.size -= len(r.Next.Value)
		r.Next, r.Version = nil, version+1
		version++
		return answer(OK)
	}
	return s.put(c, r, answer)
}

// put sets a register, or what waits to be set.
func (s *State) put(c Command, r *Register, answer func(Code) Result) Result {
	after := Register{Name: c.Name}
	if r != nil {
		after = *r
	}
	after.Version++
	if c.Op == Widen && s.Waits(s.Index) {
		after.Next = &Next{Value: bytes.Clone(c.Value), Index: s.Index}
	} else {
		after.Value, after.Index, after.Narrow = bytes.Clone(c.Value), s.Index, c.Op == Narrow
	}
	size := s.size + after.bytes()
	if r != nil {
		size -= r.bytes()
	}
	if size > MaxValues || r == nil && len(s.regs) >= MaxRegisters {
		return answer(Full)
	}
	s.size, s.regs[c.Name] = size, &after
	if c.Op == Narrow {
		s.floor = s.Index
		if !s.Flaws.NoWait {
			s.narrows = append(s.narrows, Narrowing{Index: s.Index})
		}
		s.settle() // nobody may hold a lease
	}
	r2 := answer(OK)
	r2.Version = after.Version
	return r2
}

// renew takes an aggregate. A lease is renewed for who knows all narrowings, or, if it held one already, is not
// later than Patience aggregates: so a narrowing waits no longer than those and a lease. Who is refused keeps what it has, and
// its lease runs out by itself.
func (s *State) renew(c Command) {
	for _, e := range c.Ended {
		if p := s.holders[e.Holder]; p != nil && (p.Round == e.Round || s.Flaws.AnyRound) {
			delete(s.holders, e.Holder) // unless it was renewed meanwhile
		}
	}
	var need uint64 // the latest narrowing that has waited long enough
	for i := range s.narrows {
		s.narrows[i].Renews++
		if s.narrows[i].Renews > Patience {
			need = s.narrows[i].Index
		}
	}
	for _, a := range c.Acks {
		p := s.holders[a.Holder]
		switch {
		case a.Holder == 0 || a.Acked > s.Index:
		case p == nil && a.Acked >= s.floor && len(s.holders) < MaxHolders:
			s.holders[a.Holder] = &a
		case p != nil && a.Round > p.Round && a.Acked >= need:
			p.Round, p.Acked = a.Round, max(p.Acked, a.Acked)
		}
	}
	s.settle()
}

// settle finds the narrowings that every holder knows done, and puts in force what waited for them.
func (s *State) settle() {
	known := s.Index
	for _, p := range s.holders {
		known = min(known, p.Acked)
	}
	s.narrows = slices.DeleteFunc(s.narrows, func(n Narrowing) bool { return n.Index <= known })
	for _, r := range s.regs {
		if r.Next != nil && !s.Waits(r.Next.Index) {
			s.size -= len(r.Value)
			r.Value, r.Index, r.Next, r.Narrow = r.Next.Value, r.Next.Index, nil, false
		}
	}
}
