package mysql

import (
	"context"
	"errors"
	"fmt"
	"runtime"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/routing"
)

const (
	maxResponseBytes = 512 << 10 // of definitions and rows
	maxShortResult   = 16 << 10  // bytes; longer results need memory from Account.Results
	resultCopies     = 2         // of a result: its rows, and the packets for the client
	maxColumns       = 4096

	packetLengthBytes = 3
)

// The first bytes of a packet, or of a value, with a special meaning.
const (
	headLocalInfile = 0xfb // a request for a local file
	headNull        = 0xfb // a null in place of a value
)

// The host's error codes that prove that nothing ran, in addition to the SQLSTATE codes of package backend.
var (
	readOnlyErrors = map[uint16]bool{ // a write, and the host is not the primary
		1290: true, // the server runs with an option that prevents the statement (--read-only)
		1792: true, // read-only transaction
		1836: true, // read-only mode
	}
	capacityErrors = map[uint16]bool{
		1040: true, // too many connections
		1203: true, // this user has too many
		1226: true, // this user's resources are used up
	}
)

// readPacket reads an answer's next packet. A packet out of sequence is noise or belongs to another answer. Its length can't
// be trusted, so nothing more is read.
func (c *Conn) readPacket() ([]byte, error) {
	head, err := c.Need(4)
	if err != nil {
		return nil, err
	}
	if head[3] != c.seq {
		return nil, fmt.Errorf("packet %d in place of %d: %w", head[3], c.seq, mysqlwire.ErrMalformed)
	}
	c.seq++
	_, packet, err := mysqlwire.ReadPacket(c.Conn)
	return packet, err
}

// readDefinitions reads n definitions and copies them, as they outlive the connection's buffer. It reduces bytesLeft by their
// length, and returns framebuf.ErrTooLarge if bytesLeft falls below zero.
func (c *Conn) readDefinitions(n int, bytesLeft *int) (definitions [][]byte, err error) {
	for range n {
		packet, err := c.readPacket()
		if err != nil {
			return nil, err
		}
		if *bytesLeft -= len(packet); *bytesLeft < 0 {
			return nil, framebuf.ErrTooLarge
		}
		definitions = append(definitions, append([]byte(nil), packet...))
	}
	if n > 0 && c.caps&mysqlwire.CapDeprecateEOF == 0 {
		packet, err := c.readPacket()
		if err == nil && !mysqlwire.IsEOF(packet, c.caps) {
			err = mysqlwire.ErrMalformed
		}
		return definitions, err
	}
	return definitions, nil
}

// readResponse reads the response to a statement: an OK, an error, or rows. If it returns both a result and an error of the
// host, the statement had begun and the host cut its rows off.
func (c *Conn) readResponse(ctx context.Context, binary bool) (*mysqlwire.Result, *mysqlwire.Error, error) {
	c.seq = 1
	if _, err := c.Need(1); err != nil {
		return nil, nil, err
	}
	c.SetStallTimeout(backend.AnswerStallTimeout)
	defer c.SetStallTimeout(0)
	packet, err := c.readPacket()
	if err != nil {
		return nil, nil, err
	}
	if len(packet) == 0 || packet[0] == headLocalInfile { // the capability for local files was not offered
		return nil, nil, mysqlwire.ErrMalformed
	}
	switch packet[0] {
	case mysqlwire.HeadErr:
		serverError, err := mysqlwire.ParseErr(packet)
		return nil, &serverError, err
	case mysqlwire.HeadOK:
		response := &mysqlwire.Result{}
		response.OK, err = mysqlwire.ParseOK(packet, c.caps)
		return response, nil, err
	}
	cursor := mysqlwire.Cursor{B: packet}
	columns := cursor.Int()
	if cursor.Err != nil || columns > maxColumns || len(cursor.B) > 0 {
		return nil, nil, mysqlwire.ErrMalformed
	}
	return c.readRows(ctx, int(columns), binary)
}

// readRows reads the definitions of a number of columns, and the rows up to their end. It reserves memory for a long result, which is
// released by the result's reader or, if nobody reads it, with the result itself.
func (c *Conn) readRows(ctx context.Context, columns int, binary bool) (*mysqlwire.Result, *mysqlwire.Error, error) {
	response := &mysqlwire.Result{}
	serverError, err := c.readRowsInto(ctx, response, columns, binary)
	if err != nil {
		response.Memory.Release()
		return nil, nil, err
	}
	if response.Memory != nil {
		runtime.AddCleanup(response, (*framebuf.Reservation).Release, response.Memory)
	}
	return response, serverError, nil
}

// readRowsInto does the work of readRows.
func (c *Conn) readRowsInto(ctx context.Context, response *mysqlwire.Result, columns int, binary bool) (*mysqlwire.Error, error) {
	bytesLeft := maxResponseBytes
	var err error
	if response.Columns, err = c.readDefinitions(columns, &bytesLeft); err != nil {
		return nil, err
	}
	for {
		if err := c.reserveResult(ctx, response, maxResponseBytes-bytesLeft); err != nil {
			return nil, err
		}
		packet, err := c.readPacket()
		if err != nil {
			return nil, err
		}
		if len(packet) > 0 && packet[0] == mysqlwire.HeadErr {
			serverError, err := mysqlwire.ParseErr(packet)
			return &serverError, err
		}
		if mysqlwire.IsEOF(packet, c.caps) {
			return nil, c.parseEnd(response, packet)
		}
		if bytesLeft -= len(packet); bytesLeft < 0 {
			return nil, framebuf.ErrTooLarge
		}
		if !mysqlwire.RowFits(packet, columns, binary) {
			return nil, fmt.Errorf("row: %w", mysqlwire.ErrMalformed)
		}
		response.Rows = append(response.Rows, append([]byte(nil), packet...))
	}
}

// reserveResult reserves memory for the longest result before a packet is read that makes the result longer than maxShortResult bytes. It
// waits for the memory until the context ends. read is the number of bytes of the result so far.
func (c *Conn) reserveResult(ctx context.Context, response *mysqlwire.Result, read int) error {
	if response.Memory != nil {
		return nil
	}
	head, err := c.Need(packetLengthBytes)
	if err != nil {
		return err
	}
	length := int(head[0]) | int(head[1])<<8 | int(head[2])<<16
	if read+length <= maxShortResult {
		return nil
	}
	response.Memory, err = c.account.Results.ReserveWait(ctx, resultCopies*maxResponseBytes)
	return err
}

// parseEnd parses the packet that ends a response's rows.
func (c *Conn) parseEnd(response *mysqlwire.Result, packet []byte) error {
	var err error
	if c.caps&mysqlwire.CapDeprecateEOF != 0 {
		response.OK, err = mysqlwire.ParseOK(packet, c.caps)
	}
	if response.OK.Status&mysqlwire.StatusMoreResults != 0 {
		err = errors.Join(err, mysqlwire.ErrMalformed) // the capability for several results was not offered
	}
	return err
}

// resultOf returns the result of an attempt that ended with an error of the host, with another error, or without any. An
// error of the host proves that nothing ran only if its code is listed above or in package backend.
func resultOf(serverError *mysqlwire.Error, err error) routing.Result {
	switch {
	case err != nil && backend.IsMalformed(err, mysqlwire.ErrMalformed):
		return routing.ResultMalformed
	case err != nil:
		return routing.ResultReset
	case serverError == nil:
		return routing.ResultOK
	}
	byState := backend.ResultOfState(serverError.State)
	switch {
	case readOnlyErrors[serverError.Code], byState == routing.ResultMissed:
		return routing.ResultMissed
	case capacityErrors[serverError.Code]:
		return routing.ResultOverCapacity
	}
	return byState
}

// outcome returns the outcome of an attempt, with what the host reported about itself.
func (c *Conn) outcome(a *core.Attempt, response *mysqlwire.Result, serverError *mysqlwire.Error, err error) core.Outcome {
	result := resultOf(serverError, err)
	if err == nil && serverError != nil && response != nil { // the statement had begun, whatever the error's code
		result = routing.ResultError
	}
	if result != routing.ResultOK {
		return core.Outcome{Result: result}
	}
	var status backend.HostStatus
	for _, variable := range response.OK.Session {
		status.Set(variable[0], variable[1])
	}
	if a.Request == nil {
		setHealthCheckRows(&status, response)
	}
	outcome := status.Outcome(result)
	outcome.Value = response
	return outcome
}

// setHealthCheckRows sets a status from the rows of a health check.
func setHealthCheckRows(status *backend.HostStatus, response *mysqlwire.Result) {
	var names []string
	for _, definition := range response.Columns {
		cursor := mysqlwire.Cursor{B: definition}
		for range 4 { // catalog, schema, table and its original name
			cursor.String()
		}
		names = append(names, string(cursor.String()))
	}
	for _, row := range response.Rows {
		cursor := mysqlwire.Cursor{B: row}
		var values [][]byte
		for range names {
			if len(cursor.B) > 0 && cursor.B[0] == headNull {
				cursor.Byte()
				values = append(values, nil)
				continue
			}
			values = append(values, cursor.String())
		}
		if cursor.Err == nil {
			status.SetRow(names, values)
		}
	}
}
