package simulator

import (
	"io"
	"net/http"
	"strconv"
)

// anyController stands for every controller on links to machines: a worker's address is the
// same for all of them, so it can't be told which of them asks.
const anyController = "controllers"

// maxRequestBody is the longest body that the protocol allows in a request.
const maxRequestBody = 64 << 10

// serviceFunc answers one request, later, once, or never. It is called with the lock held.
type serviceFunc func(method, target string, body []byte, respond respondFunc)

// response is what came of a request; status 0 says that its connection fails.
type response struct {
	status int
	body   []byte
}

// handler lets a service on one host answer those that another host sends over HTTP. A
// request that gets no answer stays open until its sender gives it up.
func (l *Loopback) handler(from, to string, serve serviceFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
		if err != nil {
			writeResponse(w, response{status: http.StatusBadRequest})
			return
		}
		answers := make(chan response, 1)
		l.Do(func(c *Cluster) {
			c.request(from, to,
				func(respond respondFunc) { serve(r.Method, r.RequestURI, body, respond) },
				func(status int, body []byte) { answers <- response{status, body} })
		})
		select {
		case a := <-answers:
			writeResponse(w, a)
		case <-r.Context().Done():
		}
	})
}

// writeResponse sends an answer, or ends the connection.
func writeResponse(w http.ResponseWriter, a response) {
	if a.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// serveState gives a node its own address of the state service.
func (l *Loopback) serveState(n *controllerHost) (string, error) {
	return l.listen(l.handler(n.name, stateHost, func(method, target string, body []byte, respond respondFunc) {
		l.cluster.state.serve(n.name, method, target, body, respond)
	}))
}

// serveCloud gives a node its own address of the cloud.
func (l *Loopback) serveCloud(n *controllerHost) (string, error) {
	return l.listen(l.handler(n.name, cloudHost, func(method, target string, body []byte, respond respondFunc) {
		l.cluster.cloud.serve(n.name, method, target, body, respond)
	}))
}

// serveWorker gives a machine an address. Nobody answers there before its worker is up,
// nor after it is gone.
func (l *Loopback) serveWorker(h *machine) string {
	addr, err := l.listen(l.handler(anyController, h.name, func(method, _ string, body []byte, respond respondFunc) {
		if h.agent != nil {
			h.agent.serve("", method, body, l.cluster.now, respond)
		}
	}))
	if err != nil {
		l.failures = append(l.failures, err)
	}
	return addr
}
