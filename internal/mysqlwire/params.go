package mysqlwire

import (
	"fmt"
	"math"
	"strconv"
)

// Types of values that have a fixed size or a form of their own; all others are length-encoded strings.
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
	unsigned      = 0x8000
)

// mostParams bounds a statement's parameters and attributes together.
const mostParams = 4096

// Param is a parameter of a statement, or a query attribute, which has a name.
type Param struct {
	Type  uint16 // with the flag for unsigned numbers
	Name  string
	Null  bool
	Value []byte // as encoded on the wire
}

// Attribute makes a query attribute of a text.
func Attribute(name, value string) Param {
	return Param{Type: TypeVarString, Name: name, Value: append(AppendInt(nil, uint64(len(value))), value...)}
}

// Text returns a value as text: strings as they are, whole numbers in digits.
func (p Param) Text() string {
	c := Cursor{B: p.Value}
	switch t := byte(p.Type); {
	case p.Null || t == TypeNull:
		return ""
	case t == TypeTiny || t == TypeShort || t == TypeYear || t == TypeLong || t == TypeInt24 || t == TypeLongLong:
		n := c.number(len(p.Value))
		if shift := 64 - 8*len(p.Value); p.Type&unsigned == 0 {
			return strconv.FormatInt(int64(n<<shift)>>shift, 10)
		}
		return strconv.FormatUint(n, 10)
	case t == TypeFloat:
		return strconv.FormatFloat(float64(math.Float32frombits(c.U32())), 'f', -1, 32)
	case t == TypeDouble:
		return strconv.FormatFloat(math.Float64frombits(c.number(8)), 'f', -1, 64)
	case t == TypeDate || t == TypeTime || t == TypeDatetime || t == TypeTimestamp:
		return ""
	}
	return string(c.String())
}

// value takes one encoded value.
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

// Params takes parameters and attributes. Types that the client bound before stand in where it sends none; a
// parameter whose value went ahead as long data has none here.
func (c *Cursor) Params(count int, named bool, bound []uint16, long map[int][]byte) []Param {
	if count < 0 || count > mostParams {
		c.B, c.Err = nil, fmt.Errorf("%d parameters: %w", count, ErrMalformed)
		return nil
	}
	if count == 0 {
		return nil
	}
	nulls, fresh, out := c.Take((count+7)/8), c.Byte(), make([]Param, count)
	if c.Err == nil && fresh != 1 && len(bound) != count {
		c.Err = fmt.Errorf("parameters without types: %w", ErrMalformed)
	}
	if c.Err != nil { // guards against a payload that is cut short
		return nil
	}
	if fresh == 1 {
		for i := range out {
			if out[i].Type = c.U16(); named {
				out[i].Name = string(c.String())
			}
		}
	} else {
		for i := range out {
			out[i].Type = bound[i]
		}
	}
	for i := range out {
		if c.Err != nil {
			return nil
		}
		_, isLong := long[i]
		if out[i].Null = nulls[i/8]>>(i%8)&1 == 1; !out[i].Null && !isLong {
			out[i].Value = c.value(out[i].Type)
		}
	}
	return out
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
	w.Byte(1)
	for _, p := range params {
		if w.U16(p.Type); named {
			w.String(p.Name)
		}
	}
	for _, p := range params {
		if !p.Null {
			w.B = append(w.B, p.Value...)
		}
	}
}

// Query takes what follows the command byte of a text query: its attributes and its text.
func (c *Cursor) Query(caps uint32) (attributes []Param, text []byte) {
	if caps&CapQueryAttributes != 0 {
		n := c.Int()
		c.Int() // how many sets there are: always one
		attributes = c.Params(int(min(n, mostParams+1)), true, nil, nil)
	}
	return attributes, c.B
}

// Query writes a text query.
func (w *Writer) Query(attributes []Param, text []byte, caps uint32) {
	w.Begin()
	w.Byte(ComQuery)
	if caps&CapQueryAttributes != 0 {
		w.Int(uint64(len(attributes)))
		w.Int(1)
		w.Params(attributes, true)
	}
	w.B = append(w.B, text...)
	w.End()
}

// countSent is the flag of an execute that says that a number of parameters follows.
const countSent = 0x08

// Execute takes what follows the statement's id in an execute: the statement's parameters, then attributes.
func (c *Cursor) Execute(caps uint32, params int, bound []uint16, long map[int][]byte) (all []Param) {
	flags := c.Byte()
	c.U32() // iterations: always one
	named := caps&CapQueryAttributes != 0
	if params == 0 && !(named && flags&countSent != 0) {
		return nil
	}
	count := params
	if named {
		count = int(min(c.Int(), mostParams+1))
	}
	if c.Err == nil && count < params {
		c.Err = fmt.Errorf("%d of %d parameters: %w", count, params, ErrMalformed)
	}
	if c.Err != nil {
		return nil
	}
	return c.Params(count, named, bound, long)
}

// Execute writes an execute.
func (w *Writer) Execute(id uint32, params, attributes []Param, caps uint32) {
	w.Begin()
	w.Byte(ComStmtExecute)
	w.U32(id)
	named := caps&CapQueryAttributes != 0
	all := params
	if named {
		all = append(params[:len(params):len(params)], attributes...)
		w.Byte(countSent)
	} else {
		w.Byte(0)
	}
	if w.U32(1); named {
		w.Int(uint64(len(all)))
	}
	w.Params(all, named)
	w.End()
}
