package simulator

import (
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// reservePort finds a free port of the loopback interface for a process to listen on, and
// keeps others from it until the stand-in ends, also while the process is down. A socket
// that is bound there and doesn't listen does so: it lets a listener in that is meant to
// be there, as both share addresses, but the system gives the port to nobody else. It is
// called with the lock held.
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
