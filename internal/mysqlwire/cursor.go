package mysqlwire

// Cursor parses a payload from its beginning. Err is set from the first error on; reads after it return zero values.
type Cursor struct {
	B   []byte // the bytes that are not parsed yet
	Err error
}

// fail sets an error and drops the bytes that are not parsed yet.
func (c *Cursor) fail(err error) {
	c.B = nil
	c.Err = err
}

// Take returns the next n bytes.
func (c *Cursor) Take(n int) []byte {
	if c.Err != nil || n < 0 || n > len(c.B) {
		c.fail(ErrMalformed)
		return nil
	}
	b := c.B[:n:n]
	c.B = c.B[n:]
	return b
}

// uintLE returns a little-endian number of n bytes.
func (c *Cursor) uintLE(n int) (number uint64) {
	for i, b := range c.Take(n) {
		number |= uint64(b) << (8 * i)
	}
	return number
}

// Byte returns the next byte.
func (c *Cursor) Byte() byte { return byte(c.uintLE(1)) }

// U16 returns a 2-byte number, little-endian.
func (c *Cursor) U16() uint16 { return uint16(c.uintLE(2)) }

// U32 returns a 4-byte number, little-endian.
func (c *Cursor) U32() uint32 { return uint32(c.uintLE(4)) }

// Int returns a length-encoded number.
func (c *Cursor) Int() uint64 {
	switch b := c.Byte(); b {
	case lenenc2Bytes:
		return c.uintLE(2)
	case lenenc3Bytes:
		return c.uintLE(3)
	case lenenc8Bytes:
		return c.uintLE(8)
	case lenencNull, lenencInvalid:
		c.Err = ErrMalformed
		return 0
	default:
		return uint64(b)
	}
}

// String returns a length-encoded string.
func (c *Cursor) String() []byte {
	length := c.Int()
	if length > uint64(len(c.B)) {
		c.fail(ErrMalformed)
		return nil
	}
	return c.Take(int(length))
}

// ZeroTerminated returns the next zero-terminated string, without the zero byte.
func (c *Cursor) ZeroTerminated() []byte {
	for i, b := range c.B {
		if b == 0 {
			return c.Take(i + 1)[:i]
		}
	}
	c.fail(ErrMalformed)
	return nil
}
