package httpscan

// maxSizeDigits is the number of digits of the largest size of a chunk, of 64 bits.
const maxSizeDigits = 16

// A chunkStep is a place in a body in chunks.
type chunkStep int

const (
	chunkSize      chunkStep = iota // within the size of a chunk
	chunkExtension                  // after the size, up to the end of its line
	chunkData                       // within the data
	chunkDataEnd                    // after the data
	chunkTrailer                    // within the lines after the last chunk
)

// A Chunks checks a body in chunks, with its trailer, while the bytes arrive. The zero Chunks expects the first byte.
type Chunks struct {
	step    chunkStep
	digits  int    // of the size
	size    uint64 // bytes of the chunk that are still to come
	afterCR bool   // the last byte was a carriage return, which only a line feed may follow
	trailer Head
}

// Scan checks the next bytes, and ignores what follows the body. It returns the number of bytes before the first one that
// can't stand there. The error is a *MalformedError, after which the Chunks must not be used.
func (c *Chunks) Scan(b []byte) (int, error) {
	for i := 0; i < len(b); i++ {
		switch c.step {
		case chunkData:
			n := min(c.size, uint64(len(b)-i))
			c.skipData(n)
			i += int(n) - 1
		case chunkTrailer:
			n, err := c.trailer.Scan(b[i:])
			return i + n, err
		default:
			if !c.next(b[i]) {
				return i, &MalformedError{Part: PartChunk, Byte: b[i]}
			}
		}
	}
	return len(b), nil
}

// skipData counts bytes of a chunk's data.
func (c *Chunks) skipData(n uint64) {
	c.size -= n
	if c.size == 0 {
		c.step = chunkDataEnd
	}
}

// next reports whether a byte may stand where it stands, outside of data and trailer.
func (c *Chunks) next(b byte) bool {
	switch {
	case c.afterCR && b != '\n':
		return false
	case c.afterCR:
		c.endLine()
		return true
	case b == '\r':
		c.afterCR = true
		return c.step != chunkSize || c.digits > 0
	case c.step == chunkSize:
		return c.nextOfSize(b)
	case c.step == chunkExtension:
		return isText(b)
	}
	return false
}

// nextOfSize checks a digit of a chunk's size, or the byte that ends it.
func (c *Chunks) nextOfSize(b byte) bool {
	if c.digits > 0 && (b == ';' || isBlank(b)) {
		c.step = chunkExtension
		return true
	}
	digit, ok := hexDigit(b)
	c.size = c.size<<4 | uint64(digit)
	c.digits++
	return ok && c.digits <= maxSizeDigits
}

// endLine is called at the end of a line with a size, and after the data of a chunk.
func (c *Chunks) endLine() {
	c.afterCR = false
	switch {
	case c.step == chunkDataEnd:
		c.step, c.digits = chunkSize, 0
	case c.size > 0:
		c.step = chunkData
	default:
		c.step, c.trailer = chunkTrailer, newTrailer()
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (value byte, ok bool) {
	switch {
	case isDigit(b):
		return b - '0', true
	case b|0x20 >= 'a' && b|0x20 <= 'f':
		return b | 0x20 - 'a' + 10, true
	}
	return 0, false
}
