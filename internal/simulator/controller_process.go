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

// ErrAlreadyRunning is returned when a controller that is already running is to be started.
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
	command *exec.Cmd
	killed  atomic.Bool // its end was requested
	exited  chan struct{}
}

// newControllerProcess prepares a controller: it reserves its ports and serves the state service
// and the cloud for it. It is called with the lock held.
func newControllerProcess(l *Loopback, n *controllerHost) (*ControllerProcess, error) {
	k := &ControllerProcess{loopback: l, binary: l.options.Binary, settings: l.cluster.settings,
		SettingsFile: filepath.Join(l.options.Dir, n.name+".toml"),
		LogFile:      filepath.Join(l.options.Dir, n.name+".log"),
		transport:    &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}
	s := &k.settings
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
	return k, err
}

// writeSettings starts the forwarders to the other controllers and writes the settings file. All
// controllers must have their ports already. It is called with the lock held.
func (k *ControllerProcess) writeSettings() error {
	for _, peer := range k.loopback.controllers {
		if peer == k {
			continue
		}
		addr, err := k.loopback.newForwarder(k.settings.Name, peer.settings.Name, peer.settings.PeerListenAddr)
		if err != nil {
			return err
		}
		k.settings.Peers = append(k.settings.Peers, config.Peer{Name: peer.settings.Name, Zone: peer.settings.Zone, Addr: addr})
	}
	raw, err := k.settings.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(k.SettingsFile, raw, 0o644)
}

// SetBinary sets the program that the controller runs from its next start on.
func (k *ControllerProcess) SetBinary(path string) { k.binary = path }

// Name returns the controller's name.
func (k *ControllerProcess) Name() string { return k.settings.Name }

// PublicAddr returns the address where the controller serves users and workers.
func (k *ControllerProcess) PublicAddr() string { return k.settings.ListenAddr }

// StateAddr returns the address of the state service for this controller.
func (k *ControllerProcess) StateAddr() string { return k.settings.StateAddr }

// CloudAddr returns the address of the cloud for this controller.
func (k *ControllerProcess) CloudAddr() string { return k.settings.CloudAddr }

// Start starts the controller's process.
func (k *ControllerProcess) Start() error {
	if k.running() {
		return fmt.Errorf("%s: %w", k.Name(), ErrAlreadyRunning)
	}
	log, err := os.OpenFile(k.LogFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	arguments := []string{"control", "--config", k.SettingsFile}
	if k.loopback.options.OperatorFile != "" {
		arguments = append(arguments, "--operator", k.loopback.options.OperatorFile)
	}
	p := &processRun{command: exec.Command(k.binary, arguments...), exited: make(chan struct{})}
	p.command.Stderr = log
	// The separate process group keeps an interrupt from the terminal from reaching the
	// controller. If the simulator's process is killed, the system kills the controller.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	k.loopback.goroutines.Go(func() {
		defer func() { _ = log.Close() }() // only the controller's process writes to it
		k.supervise(p, started)
	})
	return <-started
}

// supervise starts a process and waits for its end. It stays locked to one thread because the
// system sends the parent-death signal (Pdeathsig) when the thread that started the process ends.
func (k *ControllerProcess) supervise(p *processRun, started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := p.command.Start(); err != nil {
		started <- err
		return
	}
	k.current.Store(p)
	started <- nil
	err := p.command.Wait()
	close(p.exited)
	k.loopback.Do(func(c *Cluster) {
		if !p.killed.Load() {
			c.reportViolation("ended", "process of %s exited unexpectedly: %v", k.Name(), err)
		}
	})
}

// running implements process.
func (k *ControllerProcess) running() bool {
	p := k.current.Load()
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
func (k *ControllerProcess) Kill() {
	if p := k.current.Load(); p != nil {
		p.killed.Store(true)
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// Terminate asks the process to drain and exit (SIGTERM), and waits until it has exited.
func (k *ControllerProcess) Terminate() error {
	p := k.current.Load()
	if p == nil {
		return os.ErrProcessDone
	}
	p.killed.Store(true)
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Suspend suspends the process (SIGSTOP) until Resume.
func (k *ControllerProcess) Suspend() error { return k.signal(syscall.SIGSTOP) }

// Resume resumes the suspended process.
func (k *ControllerProcess) Resume() error { return k.signal(syscall.SIGCONT) }

func (k *ControllerProcess) signal(s syscall.Signal) error {
	p := k.current.Load()
	if p == nil {
		return os.ErrProcessDone
	}
	return p.command.Process.Signal(s)
}

// request implements process.
func (k *ControllerProcess) request(method, target string, body []byte, timeout time.Duration, respond respondFunc) {
	k.loopback.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(k.loopback.ctx, timeout)
		defer cancel()
		status, body, err := k.roundTrip(ctx, method, target, body)
		if err != nil {
			status, body = 0, nil
		}
		k.loopback.Do(func(*Cluster) { respond(status, body) })
	})
}

// roundTrip sends a request to the process and reads its response.
func (k *ControllerProcess) roundTrip(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+k.settings.ListenAddr+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	// An http.Client would follow redirects.
	response, err := k.transport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody))
	return response.StatusCode, answer, err
}
