package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/standin"
)

// commandWithin bounds all that a test waits for, and pollEvery is how often its user asks.
const (
	commandWithin = 40 * time.Second
	pollEvery     = 200 * time.Millisecond
)

// TestCommands runs the commands with real controllers.
func TestCommands(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "brasskeel")
	if out, err := exec.Command("go", "build", "-o", binary, "brasskeel/cmd/brasskeel").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	for name, test := range map[string]func(context.Context, *testing.T, string){"up": up, "load": load} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), commandWithin)
			defer cancel()
			test(ctx, t, binary)
		})
	}
}

// execute runs the command with arguments.
func execute(ctx context.Context, out io.Writer, arguments ...string) error {
	root := rootCommand()
	root.SetArgs(arguments)
	root.SetOut(out)
	return root.ExecuteContext(ctx)
}

// load expects all jobs of a small load to be done.
func load(ctx context.Context, t *testing.T, binary string) {
	var out bytes.Buffer
	if err := execute(ctx, &out, "load", "--binary", binary, "--jobs", "10", "--rate", "10", "--run", "500ms"); err != nil {
		t.Error(err)
	}
	if !strings.HasPrefix(out.String(), "jobs      10, accepted 10, done 10\n") {
		t.Errorf("the summary is\n%s", out.String())
	}
}

// up runs a job like a user does, at the address that the command prints.
func up(ctx context.Context, t *testing.T, binary string) {
	out, in := io.Pipe()
	running, interrupt := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		err := execute(running, in, "up", "--binary", binary, "--controllers", "2", "--machines", "2")
		_ = in.CloseWithError(err)
		ended <- err
	}()
	if err := runJob(ctx, out); err != nil {
		t.Error(err)
	}
	interrupt()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// runJob submits a job and asks for it until it is done. As users do, it asks again when
// it is refused with 503.
func runJob(ctx context.Context, out *io.PipeReader) error {
	jobs, err := jobsAddress(out)
	if err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	job := standin.SampleJob("run-000001", 500*time.Millisecond)
	if _, err := insist(ctx, "POST", jobs, protocol.EncodeJob(&job)); err != nil {
		return err
	}
	for {
		state, err := insist(ctx, "GET", jobs+"/"+job.ID, nil)
		if err != nil || state == protocol.Done {
			return err
		}
		pause(ctx)
	}
}

// pause lasts until the user asks again.
func pause(ctx context.Context) {
	select {
	case <-time.After(pollEvery):
	case <-ctx.Done():
	}
}

// insist sends a user's request until it isn't refused with 503.
func insist(ctx context.Context, method, address string, body []byte) (protocol.JobState, error) {
	for {
		status, state, err := send(ctx, method, address, body)
		if err != nil || status != http.StatusServiceUnavailable {
			return state, err
		}
		pause(ctx)
	}
}

// jobsAddress finds the first address that the command prints for jobs.
func jobsAddress(out io.Reader) (string, error) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		for word := range strings.FieldsSeq(lines.Text()) {
			if strings.HasSuffix(word, protocol.PathJobs) {
				return word, nil
			}
		}
	}
	return "", errors.Join(lines.Err(), errors.New("no address is printed"))
}

// send sends a user's request and reads the state that the answer tells.
func send(ctx context.Context, method, address string, body []byte) (int, protocol.JobState, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusServiceUnavailable {
		return response.StatusCode, 0, err
	}
	_, state, _, _, err := protocol.ParseJobAnswer(answer)
	return response.StatusCode, state, err
}

func TestParseExternal(t *testing.T) {
	want := standin.ExternalMachine{Name: "home-1", Type: "large", Zone: "a", Endpoint: "127.0.0.1:9000"}
	got, err := parseExternal("name=home-1,type=large,zone=a,endpoint=127.0.0.1:9000")
	if err != nil || got != want {
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
	for _, bad := range []string{"", "name", "name=", "name=a,size=3"} {
		if _, err := parseExternal(bad); !errors.Is(err, errExternal) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
