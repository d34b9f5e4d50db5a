// Package transport moves bytes between this process and others: one event loop that serves and
// calls HTTP/1.1 (Loop), and HTTP/2 streams of lines between controllers (PeerStreams).
//
// It owns the sockets, their limits and time-outs, and the HTTP/1.1 codec. A Loop runs its
// handler, outcomes of calls and posted functions on one goroutine, one after the other, so that
// what they share needs no lock. A call ends exactly once: with a response, or with an error
// that says whether the request may have been carried out (all but ErrNotSent leave that open).
// Lines between controllers are hints that may be lost, and come in order.
//
// The package must never know what is in a body, repeat a request by itself, or block the loop.
package transport
