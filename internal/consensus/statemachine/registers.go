package statemachine

import "bytes"

// execute executes a command on its register.
func (s *State) execute(command Command) Result {
	register := s.registers[command.Name]
	result := Result{Code: s.check(command, register), Index: s.Index}
	if register != nil {
		result.Version = register.Version
	}
	if result.Code != OK {
		return result
	}
	switch command.Op {
	case Remove:
		s.registerBytes -= register.bytes()
		delete(s.registers, command.Name)
	case Withdraw:
		s.registerBytes -= len(register.Pending.Value)
		register.Pending = nil
		register.Version++
		result.Version = register.Version
	default:
		result.Code, result.Version = s.putRegister(command, register)
	}
	return result
}

// check returns the code with which a command is rejected, or OK. register is nil if the register does not exist.
func (s *State) check(command Command, register *Register) Code {
	var version uint64
	if register != nil {
		version = register.Version
	}
	switch {
	case !command.AnyVersion && command.ExpectedVersion != version:
		return Conflict
	case command.Op == Withdraw && (register == nil || register.Pending == nil):
		return NotFound
	case command.Op == Remove && register == nil:
		return NotFound
	case command.Op != Withdraw && register != nil && register.Pending != nil:
		return Busy
	case command.Op == Remove && register.Restricts && s.HasIncompleteRestriction(register.Index):
		return Busy
	case command.Op == Restrict && len(s.restrictions) >= MaxRestrictions:
		return Full
	}
	return OK
}

// putRegister sets a register's value or, for a Relax that must wait, its pending value. previous is nil if the register does
// not exist. putRegister returns the register's new version, or the previous version if the code is Full.
func (s *State) putRegister(command Command, previous *Register) (Code, uint64) {
	changed := Register{Name: command.Name}
	registerBytes := s.registerBytes
	if previous != nil {
		changed = *previous
		registerBytes -= previous.bytes()
	}
	version := changed.Version
	changed.Version++
	if command.Op == Relax && s.HasIncompleteRestriction(s.Index) {
		changed.Pending = &PendingValue{Value: bytes.Clone(command.Value), Index: s.Index}
	} else {
		changed.Value = bytes.Clone(command.Value)
		changed.Index = s.Index
		changed.Restricts = command.Op == Restrict
	}
	registerBytes += changed.bytes()
	if registerBytes > MaxRegisterBytes || previous == nil && len(s.registers) >= MaxRegisters {
		return Full, version
	}
	s.registerBytes = registerBytes
	s.registers[command.Name] = &changed
	if command.Op == Restrict {
		s.addRestriction()
	}
	return OK, changed.Version
}

// addRestriction records a restriction at the current index. It is complete at once if no gateway holds a lease.
func (s *State) addRestriction() {
	s.lastRestriction = s.Index
	if !s.InjectedFaults.SkipRestrictionWait {
		s.restrictions = append(s.restrictions, Restriction{Index: s.Index})
	}
	s.completeRestrictions()
}
