package mysqlwire

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Types of values that have a fixed size or an encoding of their own. All others are length-encoded strings.
const (
	TypeTiny      = 0x01
	TypeShort     = 0x02
	TypeLong      = 0x03
	TypeFloat     = 0x04
	TypeDouble    = 0x05
	TypeNull      = 0x06
	TypeTimestamp = 0x07
	TypeLongLong  = 0x08
	TypeInt24     = 0x09
	TypeDate      = 0x0a
	TypeTime      = 0x0b
	TypeDatetime  = 0x0c
	TypeYear      = 0x0d
	TypeBlob      = 0xfc
	TypeVarString = 0xfd
)

// flagUnsigned is the flag in a parameter's type that marks an unsigned number.
const flagUnsigned = 0x8000

// maxParams bounds the parameters and attributes of a statement together.
const maxParams = 4096

// Param is a parameter of a statement or, with a name, a query attribute.
type Param struct {
	Type  uint16 // with flagUnsigned
	Name  string
	Null  bool
	Value []byte // as encoded on the wire; shares no bytes with a connection's buffer
}

// ParamBytes is about how much memory a Param takes beside the bytes of its name and value.
const ParamBytes = 96

// Attribute returns a query attribute with a string value.
func Attribute(name, value string) Param {
	return Param{Type: TypeVarString, Name: name, Value: appendString(nil, value)}
}

// Text returns the value as text: strings as they are, numbers in decimal, and "" for null, dates and times.
func (p Param) Text() string {
	c := Cursor{B: p.Value}
	if p.Null {
		return ""
	}
	switch byte(p.Type) {
	case TypeNull, TypeDate, TypeTime, TypeDatetime, TypeTimestamp:
		return ""
	case TypeTiny, TypeShort, TypeYear, TypeLong, TypeInt24, TypeLongLong:
		n := c.uintLE(len(p.Value))
		if p.Type&flagUnsigned != 0 {
			return strconv.FormatUint(n, 10)
		}
		shift := 64 - 8*len(p.Value) // extends the sign
		return strconv.FormatInt(int64(n<<shift)>>shift, 10)
	case TypeFloat:
		return strconv.FormatFloat(float64(math.Float32frombits(c.U32())), 'f', -1, 32)
	case TypeDouble:
		return strconv.FormatFloat(math.Float64frombits(c.uintLE(8)), 'f', -1, 64)
	}
	return string(c.String())
}

// value returns the next value in its encoding on the wire, as a part of the cursor's bytes.
func (c *Cursor) value(kind uint16) []byte {
	before := c.B
	switch byte(kind) {
	case TypeNull:
		return nil
	case TypeTiny:
		c.Take(1)
	case TypeShort, TypeYear:
		c.Take(2)
	case TypeLong, TypeInt24, TypeFloat:
		c.Take(4)
	case TypeLongLong, TypeDouble:
		c.Take(8)
	case TypeDate, TypeTime, TypeDatetime, TypeTimestamp:
		c.Take(int(c.Byte()))
	default:
		c.String()
	}
	return before[:len(before)-len(c.B)]
}

// Params parses count parameters and attributes, and copies them, as a request may be sent after the connection's buffer is
// reused. If the client sends no types, boundTypes has the types that it sent before. A parameter whose value was sent ahead as
// long data, and is in long, has no value here.
func (c *Cursor) Params(count int, named bool, boundTypes []uint16, long map[int][]byte) []Param {
	if count < 0 || count > maxParams {
		c.fail(fmt.Errorf("%d parameters: %w", count, ErrMalformed))
		return nil
	}
	if count == 0 {
		return nil
	}
	nulls := c.Take((count + 7) / 8)
	hasTypes := c.Byte() == 1
	if c.Err == nil && !hasTypes && len(boundTypes) != count {
		c.Err = fmt.Errorf("parameters without types: %w", ErrMalformed)
	}
	if c.Err != nil { // guards against a payload that is cut short
		return nil
	}
	params := make([]Param, count)
	for i := range params {
		if !hasTypes {
			params[i].Type = boundTypes[i]
			continue
		}
		params[i].Type = c.U16()
		if named {
			params[i].Name = string(c.String())
		}
	}
	for i := range params {
		if c.Err != nil {
			return nil
		}
		params[i].Null = nulls[i/8]>>(i%8)&1 == 1
		_, isLong := long[i]
		if !params[i].Null && !isLong {
			params[i].Value = bytes.Clone(c.value(params[i].Type))
		}
	}
	return params
}

// Params writes parameters and attributes, always with their types.
func (w *Writer) Params(params []Param, named bool) {
	if len(params) == 0 {
		return
	}
	nulls := make([]byte, (len(params)+7)/8)
	for i, p := range params {
		if p.Null {
			nulls[i/8] |= 1 << (i % 8)
		}
	}
	w.B = append(w.B, nulls...)
	w.Byte(1) // types follow
	for _, p := range params {
		w.U16(p.Type)
		if named {
			w.String(p.Name)
		}
	}
	for _, p := range params {
		if !p.Null {
			w.B = append(w.B, p.Value...)
		}
	}
}

// Query parses a text query after the command byte: its attributes and its text.
func (c *Cursor) Query(caps uint32) (attributes []Param, text []byte) {
	if caps&CapQueryAttributes != 0 {
		count := c.Int()
		c.Int() // the number of parameter sets: always one
		attributes = c.Params(int(min(count, maxParams+1)), true, nil, nil)
	}
	return attributes, c.B
}

// Query writes a text query.
func (w *Writer) Query(attributes []Param, text []byte, caps uint32) {
	w.QueryParts(attributes, [][]byte{text}, caps)
}

// QueryParts writes a text query whose text is in several parts.
func (w *Writer) QueryParts(attributes []Param, text [][]byte, caps uint32) {
	w.Begin()
	w.Byte(ComQuery)
	if caps&CapQueryAttributes != 0 {
		w.Int(uint64(len(attributes)))
		w.Int(1)
		w.Params(attributes, true)
	}
	length := 0
	for _, part := range text {
		length += len(part)
	}
	w.B = slices.Grow(w.B, length)
	for _, part := range text {
		w.B = append(w.B, part...)
	}
	w.End()
}

// flagParamCount is the flag of an execute which means that the number of parameters follows.
const flagParamCount = 0x08

// Execute parses an execute after the statement's id: the statement's parameters, then attributes.
func (c *Cursor) Execute(caps uint32, params int, boundTypes []uint16, long map[int][]byte) (all []Param) {
	flags := c.Byte()
	c.U32() // iterations: always one
	named := caps&CapQueryAttributes != 0
	if params == 0 && !(named && flags&flagParamCount != 0) {
		return nil
	}
	count := params
	if named {
		count = int(min(c.Int(), maxParams+1))
	}
	if c.Err == nil && count < params {
		c.Err = fmt.Errorf("%d of %d parameters: %w", count, params, ErrMalformed)
	}
	if c.Err != nil {
		return nil
	}
	return c.Params(count, named, boundTypes, long)
}

// Execute writes an execute of the prepared statement with an id.
func (w *Writer) Execute(id uint32, params, attributes []Param, caps uint32) {
	w.Begin()
	w.Byte(ComStmtExecute)
	w.U32(id)
	named := caps&CapQueryAttributes != 0
	all := params
	if named {
		all = append(params[:len(params):len(params)], attributes...)
		w.Byte(flagParamCount)
	} else {
		w.Byte(0)
	}
	w.U32(1) // iterations
	if named {
		w.Int(uint64(len(all)))
	}
	w.Params(all, named)
	w.End()
}
