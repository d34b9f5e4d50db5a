package simulator

import (
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// reservePort reserves a free port of the loopback interface for a process to listen on, until l is
// closed, also while the process is down. To reserve it, a socket is bound to the port but does not
// listen. SO_REUSEADDR and SO_REUSEPORT allow the process to bind the same port, but the system
// does not choose it as a free port for anyone else. It is called with the lock held.
func (l *Loopback) reservePort() (string, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	l.closers = append(l.closers, func() error { return unix.Close(socket) })
	for _, option := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, option, 1); err != nil {
			return "", err
		}
	}
	loopback := netip.MustParseAddrPort(anyPort).Addr().As4()
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: loopback}); err != nil {
		return "", err
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		return "", err
	}
	port := bound.(*unix.SockaddrInet4).Port
	return (&net.TCPAddr{IP: loopback[:], Port: port}).String(), nil
}
