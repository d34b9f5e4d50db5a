package simulator

import (
	"io"
	"net/http"
	"strconv"
)

// anyController is the host name of all controllers on links to machines: a worker has one address
// for all of them, so the sender of a request is not known.
const anyController = "controllers"

// maxRequestBody is the largest request body that the protocol allows.
const maxRequestBody = 64 << 10

// serviceFunc handles one request. It may call respond at once, later or never. It is called with
// the lock held.
type serviceFunc func(method, target string, body []byte, respond respondFunc)

// response is the response to a request; status 0 means that the connection fails.
type response struct {
	status int
	body   []byte
}

// handler returns an HTTP handler that passes requests of host from to a service on host to. A
// request that is not answered stays open until its sender gives up.
func (l *Loopback) handler(from, to string, serve serviceFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
		if err != nil {
			writeResponse(w, response{status: http.StatusBadRequest})
			return
		}
		responses := make(chan response, 1)
		l.Do(func(c *Cluster) {
			c.request(from, to,
				func(respond respondFunc) { serve(r.Method, r.RequestURI, body, respond) },
				func(status int, body []byte) { responses <- response{status, body} })
		})
		select {
		case a := <-responses:
			writeResponse(w, a)
		case <-r.Context().Done():
		}
	})
}

// writeResponse sends a response, or aborts the connection if the status is 0.
func writeResponse(w http.ResponseWriter, a response) {
	if a.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// serveState starts a server of the state service for one controller and returns its address.
func (l *Loopback) serveState(n *controllerHost) (string, error) {
	return l.listen(l.handler(n.name, stateHost, func(method, target string, body []byte, respond respondFunc) {
		l.cluster.state.serve(n.name, method, target, body, respond)
	}))
}

// serveCloud starts a server of the cloud for one controller and returns its address.
func (l *Loopback) serveCloud(n *controllerHost) (string, error) {
	return l.listen(l.handler(n.name, cloudHost, func(method, target string, body []byte, respond respondFunc) {
		l.cluster.cloud.serve(n.name, method, target, body, respond)
	}))
}

// serveWorker starts a server for a machine's worker and returns its address. Requests are not
// answered before the worker is up or after it has ended.
func (l *Loopback) serveWorker(m *machine) string {
	addr, err := l.listen(l.handler(anyController, m.name, func(method, _ string, body []byte, respond respondFunc) {
		if m.agent != nil {
			m.agent.serve("", method, body, l.cluster.now, respond)
		}
	}))
	if err != nil {
		l.failures = append(l.failures, err)
	}
	return addr
}
