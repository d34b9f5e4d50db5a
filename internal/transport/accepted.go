package transport

import (
	"container/list"
	"errors"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// acceptedConn is a connection that a client opened.
type acceptedConn struct {
	conn            gnet.Conn
	requestID       uint64 // ID of the request being handled; 0: none
	closeAfterReply bool
	requestBegan    time.Time     // when the first byte of an incomplete request arrived
	element         *list.Element // in Loop.accepted; nil once the connection was shed or closed
	// continued is set once 100 Continue was sent for the request being read.
	continued bool
}

// removeAccepted removes an accepted connection from the list of open ones.
func (l *Loop) removeAccepted(s *acceptedConn) {
	if s.element != nil {
		l.accepted.Remove(s.element)
		s.element = nil
	}
}

// accept registers a connection that a client opened. Above the limit of open sockets it closes
// another connection: an idle outbound one if there is one and more than minOutboundPercent of the
// sockets are outbound, or else the least recently active accepted one without a request being handled,
// which may be the new one.
func (l *Loop) accept(c gnet.Conn) {
	s := &acceptedConn{conn: c}
	c.SetContext(s)
	s.element = l.accepted.PushBack(s)
	if l.underPressure() {
		l.pressureUntil = time.Now().Add(pressureDuration)
	}
	if l.openSockets() > l.socketShare(maxOpenPercent) && (l.outboundSockets() <= l.socketShare(minOutboundPercent) || !l.closeLongestIdle()) {
		l.shedLeastRecentlyActive()
	}
}

// readRequest passes the next complete request of a connection to the handler, unless one of its
// requests is being handled.
func (l *Loop) readRequest(s *acceptedConn) gnet.Action {
	now := time.Now()
	if s.element != nil {
		l.accepted.MoveToBack(s.element)
	}
	// Pipelined requests are not handled in parallel: later ones stay in the input buffer, up
	// to a limit.
	if s.requestID != 0 {
		if s.conn.InboundBuffered() > maxRequestBody+maxHead {
			return gnet.Close
		}
		return gnet.None
	}
	buf, err := s.conn.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	if len(buf) == 0 {
		return gnet.None
	}
	var m message
	n, err := parseRequest(buf, &m)
	if errors.Is(err, errIncomplete) {
		if s.requestBegan.IsZero() {
			s.requestBegan = now
		}
		if m.expectContinue && !s.continued {
			s.continued = true
			_, _ = s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		return gnet.None
	}
	if err != nil {
		l.writeBuffer = appendResponse(l.writeBuffer[:0], StatusOf(err), 0, []byte(`{"error":"malformed request"}`), true)
		_, _ = s.conn.Write(l.writeBuffer)
		return gnet.Close
	}
	s.requestBegan, s.continued = time.Time{}, false
	s.closeAfterReply = m.close
	l.nextID++
	s.requestID = l.nextID
	l.pending[s.requestID] = s
	id, method, target := s.requestID, m.method, m.target
	body := append([]byte(nil), m.body...)
	_, _ = s.conn.Discard(n)
	l.handler.Request(id, method, target, body)
	return gnet.None
}

// Reply sends the response to a request. It then closes the connection if last is set, if the client
// requested it, or under pressure (see underPressure). It does nothing if the connection is already
// closed.
func (l *Loop) Reply(id uint64, status, retryAfter int, body []byte, last bool) {
	s := l.pending[id]
	if s == nil {
		return
	}
	delete(l.pending, id)
	s.requestID = 0
	if !s.closeAfterReply && !last && l.underPressure() {
		l.counts.ClosedAfterResponse++
		last = true
	}
	s.closeAfterReply = s.closeAfterReply || last
	l.writeBuffer = appendResponse(l.writeBuffer[:0], status, retryAfter, body, s.closeAfterReply)
	_, _ = s.conn.Write(l.writeBuffer)
	if s.closeAfterReply {
		// The close is posted because gnet may still be in a callback of this connection.
		l.Post(func() { _ = s.conn.Close() })
		return
	}
	if s.conn.InboundBuffered() > 0 {
		l.Post(func() {
			if s.element != nil && l.readRequest(s) == gnet.Close {
				_ = s.conn.Close()
			}
		})
	}
}
