package statemachine

import "fmt"

// Result is the result of a command. A retry with the same key gets the same result.
type Result struct {
	Code    Code   `cbor:"1,keyasint"`
	Index   uint64 `cbor:"2,keyasint"`           // the log index of the command
	Version uint64 `cbor:"3,keyasint,omitempty"` // the register's version after the command
}

// Code is the outcome of a command.
type Code uint8

// The codes.
const (
	OK        Code = iota + 1
	Conflict       // the register has another version, which is in the result
	Busy           // a Relax is pending, or the register to remove has an incomplete Restrict: withdraw the Relax, or retry later
	Full           // the limit of registers, of their bytes or of restrictions is reached
	Expired        // the request is older than MaxRequestAge; it was not applied now, but may have been applied earlier
	Released       // the client has reported that it received the response to this request; it was not applied now
	Undecided      // not applied now, because MaxResultsPerClient or MaxClients leaves no room for the result: retry with the same Key
	NotFound       // no such register, or nothing to withdraw
)

var codeNames = [...]string{"", "ok", "conflict", "busy", "full", "expired", "released", "undecided", "not_found"}

// String returns the code's name.
func (c Code) String() string {
	if c >= 1 && int(c) < len(codeNames) {
		return codeNames[c]
	}
	return fmt.Sprintf("code %d", uint8(c))
}
