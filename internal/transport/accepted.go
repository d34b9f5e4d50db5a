package transport

import (
	"container/list"
	"errors"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// acceptedConn is one accepted connection.
type acceptedConn struct {
	conn            gnet.Conn
	requestID       uint64 // being answered; 0 when none
	closeAfterReply bool   // close after the answer
	requestBegan    time.Time
	element         *list.Element // in the loop's list; nil once it is closed for want of sockets
	// continued is set once 100 Continue went out for the request being read.
	continued bool
}

// removeAccepted takes an accepted connection out of those that count.
func (l *Loop) removeAccepted(s *acceptedConn) {
	if s.element != nil {
		l.accepted.Remove(s.element)
		s.element = nil
	}
}

// accept takes a connection that a client opened, and closes another one if they are too many.
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

func (l *Loop) readRequest(s *acceptedConn) gnet.Action {
	now := time.Now()
	if s.element != nil {
		l.accepted.MoveToBack(s.element)
	}
	// Requests are not pipelined; whatever comes early waits, bounded.
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

// Reply answers a request, and ends its connection if last is set. A reply to a
// connection that is gone is dropped.
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
		// Post so that gnet is out of this connection's callback by then.
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
