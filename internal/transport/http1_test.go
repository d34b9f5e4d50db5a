package transport

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// requestTest is an input with the expected result of parseRequest.
type requestTest struct {
	name, in string
	err      error
	body     string
	rest     string
	close    bool
}

func requestTests() []requestTest {
	long := strings.Repeat("a", maxHead)
	return []requestTest{
		{name: "plain", in: "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"},
		{name: "body and more", in: "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", body: "abc", rest: "GET"},
		{name: "chunked", in: "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n", body: "abc"},
		{name: "empty line ahead", in: "\r\nGET / HTTP/1.1\r\n\r\n"},
		{name: "close", in: "GET / HTTP/1.1\r\nConnection: foo, Close\r\n\r\n", close: true},
		{name: "old version closes", in: "GET / HTTP/1.0\r\n\r\n", close: true},
		{name: "old version kept", in: "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"},
		{name: "half a line", in: "GET / HT", err: errIncomplete},
		{name: "half a body", in: "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", err: errIncomplete},
		{name: "half a chunk", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", err: errIncomplete},
		{name: "bare line feed", in: "GET / HTTP/1.1\n\n", err: ErrMalformed},
		{name: "no target", in: "GET HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "space in target", in: "GET /a b HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "no version", in: "GET / FTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "other version", in: "GET / HTTP/2.0\r\n\r\n", err: ErrVersion},
		{name: "both framings", in: "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", err: ErrMalformed},
		{name: "two lengths", in: "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", err: ErrMalformed},
		{name: "negative length", in: "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", err: ErrMalformed},
		{name: "signed length", in: "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na", err: ErrMalformed},
		{name: "other coding", in: "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", err: ErrMalformed},
		{name: "chunk size is no number", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", err: ErrMalformed},
		{name: "chunk too long for its size", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", err: ErrMalformed},
		{name: "space before colon", in: "GET / HTTP/1.1\r\nHost : x\r\n\r\n", err: ErrMalformed},
		{name: "folded header", in: "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", err: ErrMalformed},
		{name: "control in value", in: "GET / HTTP/1.1\r\nA: b\x00\r\n\r\n", err: ErrMalformed},
		{name: "body too large", in: "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", err: ErrBodyTooLarge},
		{name: "chunks too large", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", err: ErrBodyTooLarge},
		{name: "endless line", in: "GET /" + long + long, err: ErrHeadTooLarge},
		{name: "large header", in: "GET / HTTP/1.1\r\nA: " + long + "\r\n\r\n", err: ErrHeadTooLarge},
		{name: "many headers", in: "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", maxHeaders+1) + "\r\n", err: ErrHeadTooLarge},
	}
}

func TestParseRequest(t *testing.T) {
	for _, c := range requestTests() {
		t.Run(c.name, func(t *testing.T) {
			var m message
			n, err := parseRequest([]byte(c.in), &m)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err != nil {
				return
			}
			if string(m.body) != c.body || c.in[n:] != c.rest || m.close != c.close {
				t.Errorf("got body %q, rest %q, close %t; want %q, %q, %t", m.body, c.in[n:], m.close, c.body, c.rest, c.close)
			}
		})
	}
}

func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		name, in string
		eof      bool
		err      error
		status   int
		body     string
	}{
		{name: "length", in: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok"},
		{name: "no reason", in: "HTTP/1.1 404 \r\nContent-Length: 0\r\n\r\n", status: 404},
		{name: "interim", in: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n", status: 201},
		{name: "no content", in: "HTTP/1.1 204 No Content\r\n\r\n", status: 204},
		{name: "until closed", in: "HTTP/1.1 200 OK\r\n\r\nabc", eof: true, status: 200, body: "abc"},
		{name: "not closed yet", in: "HTTP/1.1 200 OK\r\n\r\nabc", err: errIncomplete},
		{name: "cut off", in: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", eof: true, err: errIncomplete},
		{name: "nonsense", in: "SSH-2.0-x\r\n", err: ErrMalformed},
		{name: "status is no number", in: "HTTP/1.1 2x0 OK\r\n\r\n", err: ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			var m message
			_, err := parseResponse([]byte(c.in), c.eof, &m)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err == nil && (m.status != c.status || string(m.body) != c.body) {
				t.Errorf("got status %d, body %q; want %d, %q", m.status, m.body, c.status, c.body)
			}
		})
	}
}

// FuzzParseRequest checks that the parser never reads past the end of its input, that a request
// parses alike when more data follows, and that no prefix of a request parses as a whole one.
func FuzzParseRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /up HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /v2/runs HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nA: \x00\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var m message
		n, err := parseRequest(in, &m)
		if err != nil {
			return
		}
		if n <= 0 || n > len(in) || len(m.body) > maxRequestBody {
			t.Fatalf("parsed %d of %d bytes, with a body of %d", n, len(in), len(m.body))
		}
		var again message
		if k, err := parseRequest(append(append([]byte(nil), in[:n]...), "GET /"...), &again); err != nil || k != n || !bytes.Equal(again.body, m.body) {
			t.Fatalf("with data after the request: parsed %d bytes instead of %d, error %v", k, n, err)
		}
		for _, cut := range []int{n - 1, n / 2, n / 3} {
			var part message
			if _, err := parseRequest(in[:cut], &part); err == nil && cut > 0 {
				t.Fatalf("the first %d of %d bytes parse as a whole request", cut, n)
			}
		}
	})
}

// FuzzParseResponse checks that the parser never reads past the end of its input, and returns
// only final responses.
func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc"), true)
	f.Fuzz(func(t *testing.T, in []byte, eof bool) {
		var m message
		n, err := parseResponse(in, eof, &m)
		if err == nil && (n <= 0 || n > len(in) || m.status < 200) {
			t.Fatalf("parsed %d of %d bytes, status %d", n, len(in), m.status)
		}
	})
}

// A request and a response are parsed as they were written.
func TestAppendRoundTrip(t *testing.T) {
	var m message
	raw := appendRequest(nil, "POST", "10.0.0.1:80", "/a?b=c", []byte(`{"x":1}`))
	if n, err := parseRequest(raw, &m); err != nil || n != len(raw) || m.method != "POST" || m.target != "/a?b=c" || string(m.body) != `{"x":1}` {
		t.Fatalf("request: %v, %+v", err, m)
	}
	raw = appendResponse(nil, 503, 2, []byte(`{}`), true)
	if !bytes.Contains(raw, []byte("Retry-After: 2\r\n")) {
		t.Error("response without the header Retry-After: 2")
	}
	if n, err := parseResponse(raw, false, &m); err != nil || n != len(raw) || m.status != 503 || !m.close {
		t.Fatalf("response: %v, %+v", err, m)
	}
}
