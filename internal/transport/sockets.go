package transport

import (
	"time"
)

// Shares of the sockets, in percent. Every worker holds one accepted connection
// and, while it has work, one of ours. What is left is for the controllers' own
// streams. Within all of them need decides: connections of ours that wait for a call
// give way to workers and users that come, since a fleet that reconnects at once
// takes more than any fixed share of it.
const (
	maxOpenPercent           = 88 // those that are closing take some more for a moment
	maxOutboundPercent       = 40 // of ours at the most
	minOutboundPercent       = 12 // that don't give way to accepted ones
	stateServiceExtraPercent = 4  // more of ours, for the state service alone
	maxDialingPercent        = 10 // at a time: those of machines that are gone hang
	// Beyond this share of all sockets an answer ends its connection, where connections
	// had to be shed lately.
	highWatermarkPercent = 72
)

// pressureDuration is for how long after a connection was shed, or came while sockets were few,
// answers end their connections. There may be many more workers than sockets: one whose
// idle connection is closed under its next report takes that for a failure and goes to
// another controller a second later, while one that is told to close dials again.
const pressureDuration = 10 * time.Second

// SocketCounts are how often bounds of the sockets were reached.
type SocketCounts struct {
	ClosedAfterResponse int // answers that ended their connection for want of sockets
	ConnectionsShed     int // accepted connections that were closed to make room
	CallsWithoutSocket  int // calls that were given up while they waited for a socket
}

// TakeCounts tells how often bounds were reached since it was last asked. It runs on the loop.
func (l *Loop) TakeCounts() SocketCounts {
	c := l.counts
	l.counts = SocketCounts{}
	return c
}

func (l *Loop) socketShare(percent int) int { return l.maxSockets * percent / 100 }

// outboundSockets is the number of connections of ours, those that are being dialled included,
// and open the number of all connections.
func (l *Loop) outboundSockets() int { return l.outbound - l.outboundClosing + l.dialing }

func (l *Loop) openSockets() int { return l.outboundSockets() + l.accepted.Len() }

// aboveHighWatermark reports whether few sockets are left.
func (l *Loop) aboveHighWatermark() bool {
	return l.openSockets() > l.socketShare(highWatermarkPercent)
}

// underPressure reports whether there are more clients than sockets, so that an answer is to end
// its connection.
func (l *Loop) underPressure() bool {
	return l.aboveHighWatermark() && time.Now().Before(l.pressureUntil)
}

// closeLongestIdle closes the connection of ours that has been unused for longest.
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

// shedLeastRecentlyActive closes the accepted connection that was heard longest ago, so that silent
// clients can't lock out the others. Those that wait for an answer are kept.
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

// canDial reports whether one more dial may begin now.
func (l *Loop) canDial() bool {
	return l.dialing < max(minConcurrentDials, l.socketShare(maxDialingPercent)) && l.ensureOutboundCapacity()
}

// ensureOutboundCapacity reports whether one more connection of ours may be opened, and makes
// room by closing the one that has been unused for longest. With more machines
// than sockets, those that had an order a while ago would otherwise keep all
// others from being reached, and those would be taken for dead.
func (l *Loop) ensureOutboundCapacity() bool {
	full := func() bool {
		return l.outboundSockets() >= l.socketShare(maxOutboundPercent) || l.openSockets() >= l.socketShare(maxOpenPercent)
	}
	return !full() || l.closeLongestIdle() && !full()
}

// closeExpired ends half-sent requests and unused outgoing connections.
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
