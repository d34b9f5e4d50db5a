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

// ErrAlreadyRunning says that a controller that was to be started runs already.
var ErrAlreadyRunning = errors.New("the controller runs already")

// maxResponseBody bounds what is read of a controller's answer.
const maxResponseBody = 1 << 20

// ControllerProcess is a controller that runs as a process of its own.
type ControllerProcess struct {
	SettingsFile string // its settings
	LogFile      string // what its processes wrote to standard error

	loopback  *Loopback
	binary    string // its program
	settings  config.Settings
	transport *http.Transport            // of those who ask it
	current   atomic.Pointer[processRun] // the latest process, nil before the first
}

// processRun is one process of a controller.
type processRun struct {
	command *exec.Cmd
	killed  atomic.Bool
	exited  chan struct{}
}

// newControllerProcess prepares a controller: its ports, its addresses of the services, and its
// connections to the other controllers. It is called with the lock held.
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

// writeSettings writes the settings file, once all controllers have their ports. It is
// called with the lock held.
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

// SetBinary lets the controller run another program from its next start on.
func (k *ControllerProcess) SetBinary(path string) { k.binary = path }

// Name is the controller's name.
func (k *ControllerProcess) Name() string { return k.settings.Name }

// PublicAddr is where the controller serves users and workers.
func (k *ControllerProcess) PublicAddr() string { return k.settings.ListenAddr }

// StateAddr is where the controller finds the state service.
func (k *ControllerProcess) StateAddr() string { return k.settings.StateAddr }

// CloudAddr is where the controller finds the cloud.
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
	// In a process group of its own, an interrupt from the terminal reaches only the
	// stand-in; when that dies without a word, its controllers die, too.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	k.loopback.goroutines.Go(func() {
		defer func() { _ = log.Close() }() // the process has written to it, not we
		k.supervise(p, started)
	})
	return <-started
}

// supervise starts a process and waits for its end, on one thread: it is this thread's end
// that the system takes for the death of the parent.
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
			c.reportViolation("ended", "%s by itself: %v", k.Name(), err)
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

// Kill ends the process without a word, if there is one.
func (k *ControllerProcess) Kill() {
	if p := k.current.Load(); p != nil {
		p.killed.Store(true)
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// Terminate asks the process to hand over what it has and end, and waits until it has ended.
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

// Suspend lets the process stand still until Continue.
func (k *ControllerProcess) Suspend() error { return k.signal(syscall.SIGSTOP) }

// Resume lets it go on.
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

// roundTrip sends the process a request and reads its answer.
func (k *ControllerProcess) roundTrip(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+k.settings.ListenAddr+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	// Not a client, which would follow redirects.
	response, err := k.transport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody))
	return response.StatusCode, answer, err
}
