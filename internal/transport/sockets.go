package transport

import (
	"time"
)

// Shares of the socket limit in percent. A worker takes one accepted connection and, while it
// has tasks, one outbound connection. The remaining sockets are for the streams between
// controllers. Accepted and outbound connections share the sockets by demand: idle outbound
// connections are closed for new clients, since a whole fleet that reconnects at once needs more
// sockets than any fixed share for accepted connections.
const (
	maxOpenPercent           = 88 // of all connections; those being closed briefly take more
	maxOutboundPercent       = 40 // of outbound connections
	minOutboundPercent       = 12 // of outbound connections that are not closed for accepted ones
	stateServiceExtraPercent = 4  // on top of maxOutboundPercent, for calls to the state service
	maxDialingPercent        = 10 // of concurrent dials, since those to unreachable machines hang
	// highWatermarkPercent is the share of open connections above which responses close their
	// connections if accepted connections had to be shed recently.
	highWatermarkPercent = 72
)

// pressureDuration is how long responses close their connections after a connection was shed, or
// after one was accepted under pressure. There may be many more workers than sockets. A worker
// whose idle connection is closed just as it sends a heartbeat treats that as a failure, and
// goes to another controller a second later; one that is told to close its connection reconnects
// to this controller.
const pressureDuration = 10 * time.Second

// SocketCounts says how often the limits of sockets took effect.
type SocketCounts struct {
	ClosedAfterResponse int // responses that closed their connection for lack of sockets
	ConnectionsShed     int // accepted connections closed to free a socket
	CallsWithoutSocket  int // calls that timed out while queued for a socket
}

// TakeCounts returns the counts since the previous call. It must run on the event loop.
func (l *Loop) TakeCounts() SocketCounts {
	c := l.counts
	l.counts = SocketCounts{}
	return c
}

// socketShare returns a percentage of the socket limit.
func (l *Loop) socketShare(percent int) int { return l.maxSockets * percent / 100 }

// outboundSockets returns the number of outbound connections, including those being dialed and
// without those being closed.
func (l *Loop) outboundSockets() int { return l.outbound - l.outboundClosing + l.dialing }

// openSockets returns the number of outbound and accepted connections.
func (l *Loop) openSockets() int { return l.outboundSockets() + l.accepted.Len() }

// aboveHighWatermark reports whether more than highWatermarkPercent of the sockets are open.
func (l *Loop) aboveHighWatermark() bool {
	return l.openSockets() > l.socketShare(highWatermarkPercent)
}

// underPressure reports whether clients compete for too few sockets, so that responses should
// close their connections.
func (l *Loop) underPressure() bool {
	return l.aboveHighWatermark() && time.Now().Before(l.pressureUntil)
}

// closeLongestIdle closes the outbound connection that has been idle for longest, and reports
// whether there was one.
func (l *Loop) closeLongestIdle() bool {
	e := l.idle.Front()
	if e == nil {
		return false
	}
	o := e.Value.(*outboundConn)
	l.removeIdle(o)
	o.closing = true
	l.outboundClosing++
	_ = o.conn.Close()
	return true
}

// shedLeastRecentlyActive closes the accepted connection that received nothing for longest, so
// that inactive clients can't lock out others. Connections with a request being handled are kept.
func (l *Loop) shedLeastRecentlyActive() {
	for e := l.accepted.Front(); e != nil; e = e.Next() {
		s := e.Value.(*acceptedConn)
		if s.requestID != 0 {
			continue
		}
		l.counts.ConnectionsShed++
		l.pressureUntil = time.Now().Add(pressureDuration)
		l.removeAccepted(s)
		_ = s.conn.Close()
		return
	}
}

// canDial reports whether another dial may start. It may close an idle connection for it.
func (l *Loop) canDial() bool {
	return l.dialing < max(minConcurrentDials, l.socketShare(maxDialingPercent)) && l.ensureOutboundCapacity()
}

// ensureOutboundCapacity reports whether another outbound connection may be opened. At a limit
// it first closes the outbound connection that has been idle for longest. If it didn't, idle
// connections to some machines would make all others unreachable when there are more machines than
// sockets, and the controller would declare those dead.
func (l *Loop) ensureOutboundCapacity() bool {
	full := func() bool {
		return l.outboundSockets() >= l.socketShare(maxOutboundPercent) || l.openSockets() >= l.socketShare(maxOpenPercent)
	}
	return !full() || l.closeLongestIdle() && !full()
}

// closeExpired runs every sweepInterval. It closes accepted connections whose request did not arrive
// in full within requestReadTimeout, once it has sent a response with status 408. It also closes
// outbound connections that were idle for longer than outboundIdleTimeout.
func (l *Loop) closeExpired() {
	now := time.Now()
	for e := l.accepted.Front(); e != nil; e = e.Next() {
		s := e.Value.(*acceptedConn)
		if !s.requestBegan.IsZero() && now.Sub(s.requestBegan) > requestReadTimeout {
			l.writeBuffer = appendResponse(l.writeBuffer[:0], 408, 0, []byte(`{"error":"request took too long"}`), true)
			_, _ = s.conn.Write(l.writeBuffer)
			_ = s.conn.Close()
		}
	}
	for e := l.idle.Front(); e != nil && now.Sub(e.Value.(*outboundConn).lastUsed) > outboundIdleTimeout; e = l.idle.Front() {
		l.closeLongestIdle()
	}
	l.After(sweepInterval, l.closeExpired)
}
