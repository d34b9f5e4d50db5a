package transport

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits on a message; the connection is closed when one is exceeded.
const (
	maxHead         = 16 << 10
	maxRequestBody  = 64 << 10
	maxResponseBody = 32 << 20
	maxHeaders      = 64
)

// Parse errors of the HTTP/1.1 codec. StatusOf maps them to the status of the response. They
// carry no field or position, so that a client that keeps sending malformed messages causes no
// allocations.
var (
	// errIncomplete means that more input is needed.
	errIncomplete = errors.New("http1: message is incomplete")
	// ErrMalformed means that the message violates the grammar of RFC 9112.
	ErrMalformed = errors.New("http1: malformed message")
	// ErrHeadTooLarge means that the start line and headers exceed 16 KiB, or that there are
	// more than 64 headers.
	ErrHeadTooLarge = errors.New("http1: head too large")
	// ErrBodyTooLarge means that the body exceeds 64 KiB in a request or 32 MiB in a response.
	ErrBodyTooLarge = errors.New("http1: body too large")
	// ErrVersion means that the HTTP version of a request is neither 1.0 nor 1.1.
	ErrVersion = errors.New("http1: unsupported version")
)

// StatusOf maps a parse error to the status of the response to the sender.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		return 431
	case errors.Is(err, ErrBodyTooLarge):
		return 413
	case errors.Is(err, ErrVersion):
		return 505
	}
	return 400
}

// message is one parsed request or response.
type message struct {
	method, target string // of a request
	status         int    // of a response
	body           []byte // aliases the input unless the body was chunked
	close          bool   // the connection can't be used for another message
	expectContinue bool
}

// headers holds the header fields about framing and the connection.
type headers struct {
	length         int64
	hasLength      bool
	chunked        bool
	close          bool
	keepAlive      bool
	expectContinue bool
}

// parseRequest parses one request at the start of buf and returns its length. The error is
// errIncomplete if more input is needed; after any other error the connection must be closed.
func parseRequest(buf []byte, m *message) (int, error) {
	// A client may send empty lines ahead of a request (RFC 9112, section 2.2). At most two are
	// skipped.
	skipped := 0
	for skipped < 4 && bytes.HasPrefix(buf[skipped:], []byte("\r\n")) {
		skipped += 2
	}
	rest := buf[skipped:]
	text, n, err := nextLine(rest, 0)
	if err != nil {
		return 0, err
	}
	line, err := parseRequestLine(text)
	if err != nil {
		return 0, err
	}
	var h headers
	n, err = parseHeaders(rest, n, &h)
	if err != nil {
		return 0, err
	}
	m.method, m.target = string(line.method), string(line.target)
	m.close = h.close || (line.http10 && !h.keepAlive)
	m.expectContinue = h.expectContinue
	used, err := parseBody(rest, n, &h, maxRequestBody, m)
	if err != nil {
		return 0, err
	}
	return skipped + used, nil
}

// requestLine is the first line of a request. Its fields alias the input.
type requestLine struct {
	method, target []byte
	http10         bool // HTTP/1.0, where connections close by default
}

func parseRequestLine(line []byte) (requestLine, error) {
	first := bytes.IndexByte(line, ' ')
	last := bytes.LastIndexByte(line, ' ')
	if first <= 0 || last <= first+1 || !isToken(line[:first]) {
		return requestLine{}, ErrMalformed
	}
	target, version := line[first+1:last], line[last+1:]
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return requestLine{}, ErrMalformed
		}
	}
	if target[0] != '/' && target[0] != '*' {
		return requestLine{}, ErrMalformed
	}
	switch string(version) {
	case "HTTP/1.1":
		return requestLine{line[:first], target, false}, nil
	case "HTTP/1.0":
		return requestLine{line[:first], target, true}, nil
	}
	if bytes.HasPrefix(version, []byte("HTTP/")) {
		return requestLine{}, ErrVersion
	}
	return requestLine{}, ErrMalformed
}

// parseResponse parses one response at the start of buf and returns its length. eof says that
// the sender has closed the connection, which ends a body without a length.
func parseResponse(buf []byte, eof bool, m *message) (int, error) {
	start := 0
	for {
		line, n, err := nextLine(buf, start)
		if err != nil {
			return 0, err
		}
		status, err := parseStatusLine(line)
		if err != nil {
			return 0, err
		}
		var h headers
		n, err = parseHeaders(buf, n, &h)
		if err != nil {
			return 0, err
		}
		if status < 200 { // an interim response; the final one follows
			start = n
			continue
		}
		m.status = status
		m.close = h.close || (line[7] == '0' && !h.keepAlive)
		if status == 204 || status == 304 {
			return n, nil
		}
		if !h.hasLength && !h.chunked {
			if !eof {
				return 0, errIncomplete
			}
			m.body, m.close = buf[n:], true
			return len(buf), nil
		}
		return parseBody(buf, n, &h, maxResponseBody, m)
	}
}

// parseStatusLine returns the status in the first line of a response.
func parseStatusLine(line []byte) (int, error) {
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' {
		return 0, ErrMalformed
	}
	if len(line) > 12 && line[12] != ' ' {
		return 0, ErrMalformed
	}
	status, err := strconv.Atoi(string(line[9:12]))
	if err != nil || status < 100 {
		return 0, ErrMalformed
	}
	return status, nil
}

// nextLine returns the line of a message head that begins at from, without its CRLF, and the start
// of the next line.
func nextLine(buf []byte, from int) ([]byte, int, error) {
	i := bytes.IndexByte(buf[from:], '\n')
	if i < 0 {
		if len(buf) > maxHead {
			return nil, 0, ErrHeadTooLarge
		}
		return nil, 0, errIncomplete
	}
	if from+i > maxHead {
		return nil, 0, ErrHeadTooLarge
	}
	if i == 0 || buf[from+i-1] != '\r' {
		return nil, 0, ErrMalformed
	}
	return buf[from : from+i-1], from + i + 1, nil
}
