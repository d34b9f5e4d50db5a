package transport

import (
	"bytes"
	"strconv"
)

// parseHeaders parses the headers up to the empty line that ends them, and returns the start of
// the body.
func parseHeaders(buf []byte, from int, h *headers) (int, error) {
	for count := 0; ; count++ {
		line, next, err := nextLine(buf, from)
		if err != nil {
			return 0, err
		}
		from = next
		if len(line) == 0 {
			// Content-Length together with Transfer-Encoding allows request smuggling.
			if h.chunked && h.hasLength {
				return 0, ErrMalformed
			}
			return from, nil
		}
		if count == maxHeaders {
			return 0, ErrHeadTooLarge
		}
		if err := h.parseField(line); err != nil {
			return 0, err
		}
	}
}

// parseField checks one header field and evaluates those about framing and the connection.
func (h *headers) parseField(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) {
		return ErrMalformed
	}
	value := bytes.Trim(line[colon+1:], " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return ErrMalformed
		}
	}
	switch name := line[:colon]; {
	case equalFoldASCII(name, "content-length"):
		return h.parseContentLength(value)
	case equalFoldASCII(name, "transfer-encoding"):
		if h.chunked || !equalFoldASCII(value, "chunked") {
			return ErrMalformed
		}
		h.chunked = true
	case equalFoldASCII(name, "connection"):
		h.parseConnection(value)
	case equalFoldASCII(name, "expect"):
		h.expectContinue = equalFoldASCII(value, "100-continue")
	}
	return nil
}

func (h *headers) parseContentLength(value []byte) error {
	length, ok := parseLength(value)
	if !ok || h.hasLength && length != h.length {
		return ErrMalformed
	}
	h.length, h.hasLength = length, true
	return nil
}

func (h *headers) parseConnection(value []byte) {
	for _, option := range bytes.Split(value, []byte{','}) {
		option = bytes.Trim(option, " \t")
		if equalFoldASCII(option, "close") {
			h.close = true
		} else if equalFoldASCII(option, "keep-alive") {
			h.keepAlive = true
		}
	}
}

// parseLength parses a decimal number of at most 15 digits, which can't overflow.
func parseLength(value []byte) (int64, bool) {
	if len(value) == 0 || len(value) > 15 {
		return 0, false
	}
	var n int64
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

func parseBody(buf []byte, from int, h *headers, limit int, m *message) (int, error) {
	if h.chunked {
		return parseChunks(buf, from, limit, m)
	}
	if h.length > int64(limit) {
		return 0, ErrBodyTooLarge
	}
	end := from + int(h.length)
	if len(buf) < end {
		return 0, errIncomplete
	}
	m.body = buf[from:end]
	return end, nil
}

// maxChunkLine limits the length of a chunk's size line, with its extensions.
const maxChunkLine = 256

func parseChunks(buf []byte, from, limit int, m *message) (int, error) {
	var body []byte
	for {
		size, start, err := parseChunkSize(buf, from)
		if err != nil {
			return 0, err
		}
		from = start
		if size == 0 {
			break
		}
		if len(body)+size > limit {
			return 0, ErrBodyTooLarge
		}
		if len(buf) < from+size+2 {
			return 0, errIncomplete
		}
		body = append(body, buf[from:from+size]...)
		from += size
		if buf[from] != '\r' || buf[from+1] != '\n' {
			return 0, ErrMalformed
		}
		from += 2
	}
	end, err := skipTrailer(buf, from)
	if err != nil {
		return 0, err
	}
	m.body = body
	return end, nil
}

// parseChunkSize parses a chunk's size line, and returns the size and the start of the data.
func parseChunkSize(buf []byte, from int) (size, start int, err error) {
	i := bytes.IndexByte(buf[from:], '\n')
	if i < 0 {
		if len(buf)-from > maxChunkLine {
			return 0, 0, ErrMalformed
		}
		return 0, 0, errIncomplete
	}
	if i == 0 || i > maxChunkLine || buf[from+i-1] != '\r' {
		return 0, 0, ErrMalformed
	}
	digits := buf[from : from+i-1]
	if j := bytes.IndexByte(digits, ';'); j >= 0 {
		digits = digits[:j]
	}
	digits = bytes.Trim(digits, " \t")
	if len(digits) == 0 || len(digits) > 8 {
		return 0, 0, ErrMalformed
	}
	n, err := strconv.ParseUint(string(digits), 16, 32)
	if err != nil {
		return 0, 0, ErrMalformed
	}
	return int(n), from + i + 1, nil
}

// skipTrailer skips the trailer fields after the last chunk and returns the end of the message.
func skipTrailer(buf []byte, from int) (end int, err error) {
	for count := 0; ; count++ {
		i := bytes.IndexByte(buf[from:], '\n')
		if i < 0 {
			if len(buf)-from > maxHead {
				return 0, ErrHeadTooLarge
			}
			return 0, errIncomplete
		}
		if i == 0 || buf[from+i-1] != '\r' || count > maxHeaders {
			return 0, ErrMalformed
		}
		from += i + 1
		if i == 1 {
			return from, nil
		}
	}
}

func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}

// equalFoldASCII reports whether b equals lower, which is in lower case, without regard to case.
func equalFoldASCII(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}
