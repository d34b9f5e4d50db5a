package simulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"brasskeel/internal/config"
)

// ErrAlreadyRunning is the cause of the error of Start if the controller is already running.
var ErrAlreadyRunning = errors.New("controller is already running")

// maxResponseBody limits how much of a controller's response body is read.
const maxResponseBody = 1 << 20

// ControllerProcess is a controller that runs as a separate process.
type ControllerProcess struct {
	SettingsFile string
	LogFile      string // standard error of its processes

	loopback  *Loopback
	binary    string // path of the controller program
	settings  config.Settings
	transport *http.Transport            // for requests to the controller
	current   atomic.Pointer[processRun] // the latest process; nil before the first start
}

// processRun is one run of a controller's process.
type processRun struct {
	command       *exec.Cmd
	exitRequested atomic.Bool // Kill or Terminate was called, so its exit is expected
	exited        chan struct{}
}

// newControllerProcess prepares a controller: it reserves its ports and serves the state service
// and the cloud for it. It is called with the lock held.
func newControllerProcess(l *Loopback, n *controllerHost) (*ControllerProcess, error) {
	cp := &ControllerProcess{loopback: l, binary: l.options.Binary, settings: l.cluster.settings,
		SettingsFile: filepath.Join(l.options.Dir, n.name+".toml"),
		LogFile:      filepath.Join(l.options.Dir, n.name+".log"),
		transport:    &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}
	s := &cp.settings
	s.Name, s.Zone = n.name, n.zone
	var err error
	if s.ListenAddr, err = l.reservePort(); err != nil {
		return nil, err
	}
	if s.PeerListenAddr, err = l.reservePort(); err != nil {
		return nil, err
	}
	if s.StateAddr, err = l.serveState(n); err != nil {
		return nil, err
	}
	s.CloudAddr, err = l.serveCloud(n)
	return cp, err
}

// writeSettings starts the forwarders to the other controllers and writes the settings file. All
// controllers must have their ports already. It is called with the lock held.
func (cp *ControllerProcess) writeSettings() error {
	for _, peer := range cp.loopback.controllers {
		if peer == cp {
			continue
		}
		addr, err := cp.loopback.newForwarder(cp.settings.Name, peer.settings.Name, peer.settings.PeerListenAddr)
		if err != nil {
			return err
		}
		cp.settings.Peers = append(cp.settings.Peers, config.Peer{Name: peer.settings.Name, Zone: peer.settings.Zone, Addr: addr})
	}
	raw, err := cp.settings.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(cp.SettingsFile, raw, 0o644)
}

// SetBinary sets the program that the controller runs from its next start on.
func (cp *ControllerProcess) SetBinary(path string) { cp.binary = path }

// Name returns the controller's name.
func (cp *ControllerProcess) Name() string { return cp.settings.Name }

// PublicAddr returns the address where the controller serves users and workers.
func (cp *ControllerProcess) PublicAddr() string { return cp.settings.ListenAddr }

// StateAddr returns the address of the state service for this controller.
func (cp *ControllerProcess) StateAddr() string { return cp.settings.StateAddr }

// CloudAddr returns the address of the cloud for this controller.
func (cp *ControllerProcess) CloudAddr() string { return cp.settings.CloudAddr }

// Start starts the controller's process.
func (cp *ControllerProcess) Start() error {
	if cp.running() {
		return fmt.Errorf("%s: %w", cp.Name(), ErrAlreadyRunning)
	}
	log, err := os.OpenFile(cp.LogFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	arguments := []string{"control", "--config", cp.SettingsFile}
	if cp.loopback.options.OperatorFile != "" {
		arguments = append(arguments, "--operator", cp.loopback.options.OperatorFile)
	}
	p := &processRun{command: exec.Command(cp.binary, arguments...), exited: make(chan struct{})}
	p.command.Stderr = log
	// The separate process group keeps an interrupt from the terminal from reaching the
	// controller. If the simulator's process is killed, the system kills the controller.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	cp.loopback.goroutines.Go(func() {
		defer func() { _ = log.Close() }() // only the controller's process writes to it
		cp.supervise(p, started)
	})
	return <-started
}

// supervise starts a process and waits for its end. It stays locked to one thread because the
// system sends the parent-death signal (Pdeathsig) when the thread that started the process ends.
func (cp *ControllerProcess) supervise(p *processRun, started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := p.command.Start(); err != nil {
		started <- err
		return
	}
	cp.current.Store(p)
	started <- nil
	err := p.command.Wait()
	close(p.exited)
	cp.loopback.Do(func(c *Cluster) {
		if !p.exitRequested.Load() {
			c.reportViolation("ended", "process of %s exited unexpectedly: %v", cp.Name(), err)
		}
	})
}

// running implements remoteProcess.
func (cp *ControllerProcess) running() bool {
	p := cp.current.Load()
	if p == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill kills the process, if there is one, and waits until it has exited.
func (cp *ControllerProcess) Kill() {
	if p := cp.current.Load(); p != nil {
		p.exitRequested.Store(true)
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// Terminate asks the process to drain and exit (SIGTERM), and waits until it has exited.
func (cp *ControllerProcess) Terminate() error {
	p := cp.current.Load()
	if p == nil {
		return os.ErrProcessDone
	}
	p.exitRequested.Store(true)
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Suspend suspends the process (SIGSTOP) until Resume.
func (cp *ControllerProcess) Suspend() error { return cp.signal(syscall.SIGSTOP) }

// Resume resumes the suspended process.
func (cp *ControllerProcess) Resume() error { return cp.signal(syscall.SIGCONT) }

func (cp *ControllerProcess) signal(s syscall.Signal) error {
	p := cp.current.Load()
	if p == nil {
		return os.ErrProcessDone
	}
	return p.command.Process.Signal(s)
}

// request implements remoteProcess.
func (cp *ControllerProcess) request(method, target string, body []byte, timeout time.Duration, respond respondFunc) {
	cp.loopback.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(cp.loopback.ctx, timeout)
		defer cancel()
		status, body, err := cp.roundTrip(ctx, method, target, body)
		if err != nil {
			status, body = 0, nil
		}
		cp.loopback.Do(func(*Cluster) { respond(status, body) })
	})
}

// roundTrip sends a request to the process and reads its response.
func (cp *ControllerProcess) roundTrip(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+cp.settings.ListenAddr+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	// An http.Client would follow redirects.
	response, err := cp.transport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody))
	return response.StatusCode, answer, err
}
