// Package harness holds stand-ins of the platform for the cases of the second review: a state
// service, a cloud, workers and users as the protocol describes them, and the controllers as
// separate processes. All of them use loopback addresses and the real clock.
package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Record is the log of a run: what was sent, answered and run, with the seconds since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a run's log.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Logf adds a line to the log.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprint(r.file, line)
	fmt.Fprint(os.Stdout, line)
}

// anyPort is the listen address for a free port of the loopback interface.
const anyPort = "127.0.0.1:0"

// serve serves HTTP on a free port of the loopback interface and returns its address.
func serve(handler http.HandlerFunc) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// readBody decodes the JSON body of a request.
func readBody(r *http.Request, into any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, 64<<10))
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// answer sends a response with a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// object is the body of a JSON object.
type object map[string]any
