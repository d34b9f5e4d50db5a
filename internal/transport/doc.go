// Package transport connects this process to others: an event loop that is an HTTP/1.1 server
// and client (Loop), and HTTP/2 streams of lines between controllers (PeerStreams).
//
// It owns the sockets, their limits and timeouts, and the HTTP/1.1 codec. A Loop runs its
// handler, the callbacks of calls and posted functions one after the other on one goroutine, so
// that the state they share needs no lock. A call ends exactly once: with a response or with an
// error. Only after ErrNotSent is it certain that the request was not executed. Lines between
// controllers are hints: they arrive in order, and may be lost.
//
// The package must never interpret a body, retry a request by itself, or block the event loop.
package transport
