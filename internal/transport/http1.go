// Package transport moves bytes: one gnet event loop that serves and calls
// HTTP/1.1, and HTTP/2 streams between controllers. It knows nothing of jobs.
package transport

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits of what a peer may send before the connection is given up.
const (
	maxHead         = 16 << 10
	maxRequestBody  = 64 << 10
	maxResponseBody = 32 << 20
	maxHeaders      = 64
)

// Parse errors of the HTTP/1.1 codec. StatusOf gives the status a server
// answers them with.
var (
	errIncomplete   = errors.New("http1: message is incomplete")
	ErrMalformed    = errors.New("http1: malformed message")
	ErrHeadTooLarge = errors.New("http1: head too large")
	ErrBodyTooLarge = errors.New("http1: body too large")
	ErrVersion      = errors.New("http1: unsupported version")
)

// StatusOf maps a parse error to the status that tells the sender about it.
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
	close          bool   // the sender ends the connection after it
	expectContinue bool
}

// head holds what the header section says about framing.
type head struct {
	length         int64
	hasLength      bool
	chunked        bool
	close          bool
	keepAlive      bool
	expectContinue bool
}

// parseRequest reads one request from the front of buf. It returns the number
// of bytes used, errIncomplete while more input is needed, or a parse error
// after which the connection can't be kept.
func parseRequest(buf []byte, m *message) (int, error) {
	// A client may send an empty line ahead of a request (RFC 9112, 2.2).
	skipped := 0
	for skipped < 4 && bytes.HasPrefix(buf[skipped:], []byte("\r\n")) {
		skipped += 2
	}
	rest := buf[skipped:]
	line, n, err := nextLine(rest, 0)
	if err != nil {
		return 0, err
	}
	first := bytes.IndexByte(line, ' ')
	last := bytes.LastIndexByte(line, ' ')
	if first <= 0 || last <= first+1 || !isToken(line[:first]) {
		return 0, ErrMalformed
	}
	target, version := line[first+1:last], line[last+1:]
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return 0, ErrMalformed
		}
	}
	if target[0] != '/' && target[0] != '*' {
		return 0, ErrMalformed
	}
	old := false
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		old = true
	default:
		if bytes.HasPrefix(version, []byte("HTTP/")) {
			return 0, ErrVersion
		}
		return 0, ErrMalformed
	}
	var h head
	n, err = parseHeaders(rest, n, &h)
	if err != nil {
		return 0, err
	}
	m.method, m.target = string(line[:first]), string(target)
	m.close = h.close || (old && !h.keepAlive)
	m.expectContinue = h.expectContinue
	used, err := parseBody(rest, n, &h, maxRequestBody, m)
	if err != nil {
		return 0, err
	}
	return skipped + used, nil
}

// parseResponse reads one response from the front of buf; eof says that the
// sender has closed, which ends a body without a length.
func parseResponse(buf []byte, eof bool, m *message) (int, error) {
	start := 0
	for {
		line, n, err := nextLine(buf, start)
		if err != nil {
			return 0, err
		}
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
		var h head
		n, err = parseHeaders(buf, n, &h)
		if err != nil {
			return 0, err
		}
		if status < 200 { // an interim response; the real one follows
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

// nextLine returns the line that begins at from, without its end, and where
// the next one begins.
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

func parseHeaders(buf []byte, from int, h *head) (int, error) {
	for count := 0; ; count++ {
		line, next, err := nextLine(buf, from)
		if err != nil {
			return 0, err
		}
		from = next
		if len(line) == 0 {
			// Both framings at once is how requests are smuggled past a proxy.
			if h.chunked && h.hasLength {
				return 0, ErrMalformed
			}
			return from, nil
		}
		if count == maxHeaders {
			return 0, ErrHeadTooLarge
		}
		colon := bytes.IndexByte(line, ':')
		if colon <= 0 || !isToken(line[:colon]) {
			return 0, ErrMalformed
		}
		value := bytes.Trim(line[colon+1:], " \t")
		for _, c := range value {
			if c < ' ' && c != '\t' || c == 0x7f {
				return 0, ErrMalformed
			}
		}
		switch name := line[:colon]; {
		case foldEqual(name, "content-length"):
			length, ok := parseLength(value)
			if !ok || h.hasLength && length != h.length {
				return 0, ErrMalformed
			}
			h.length, h.hasLength = length, true
		case foldEqual(name, "transfer-encoding"):
			if h.chunked || !foldEqual(value, "chunked") {
				return 0, ErrMalformed
			}
			h.chunked = true
		case foldEqual(name, "connection"):
			for _, option := range bytes.Split(value, []byte{','}) {
				option = bytes.Trim(option, " \t")
				if foldEqual(option, "close") {
					h.close = true
				} else if foldEqual(option, "keep-alive") {
					h.keepAlive = true
				}
			}
		case foldEqual(name, "expect"):
			h.expectContinue = foldEqual(value, "100-continue")
		}
	}
}

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

func parseBody(buf []byte, from int, h *head, limit int, m *message) (int, error) {
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

func parseChunks(buf []byte, from, limit int, m *message) (int, error) {
	var body []byte
	for {
		i := bytes.IndexByte(buf[from:], '\n')
		if i < 0 {
			if len(buf)-from > 256 {
				return 0, ErrMalformed
			}
			return 0, errIncomplete
		}
		if i == 0 || i > 256 || buf[from+i-1] != '\r' {
			return 0, ErrMalformed
		}
		size := buf[from : from+i-1]
		if j := bytes.IndexByte(size, ';'); j >= 0 {
			size = size[:j]
		}
		size = bytes.Trim(size, " \t")
		if len(size) == 0 || len(size) > 8 {
			return 0, ErrMalformed
		}
		n, err := strconv.ParseUint(string(size), 16, 32)
		if err != nil {
			return 0, ErrMalformed
		}
		from += i + 1
		if n == 0 {
			break
		}
		if len(body)+int(n) > limit {
			return 0, ErrBodyTooLarge
		}
		if len(buf) < from+int(n)+2 {
			return 0, errIncomplete
		}
		body = append(body, buf[from:from+int(n)]...)
		from += int(n)
		if buf[from] != '\r' || buf[from+1] != '\n' {
			return 0, ErrMalformed
		}
		from += 2
	}
	// Trailer fields are read past; nothing here uses them.
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
			m.body = body
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

func foldEqual(b []byte, lower string) bool {
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

func appendRequest(dst []byte, method, host, target string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if len(body) > 0 {
		dst = append(dst, "\r\nContent-Type: application/json"...)
	}
	if len(body) > 0 || method == "POST" {
		dst = append(dst, "\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

var reasons = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 421: "Misdirected Request",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

func appendResponse(dst []byte, status, retryAfter int, body []byte, close bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[status]...)
	dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
	}
	if close {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
