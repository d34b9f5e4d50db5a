package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brasskeel/internal/protocol"
	"brasskeel/internal/simulator"
)

// commandTimeout bounds all that a test waits for, and queryInterval is how often its user asks.
const (
	commandTimeout = 40 * time.Second
	pollInterval   = 200 * time.Millisecond
)

// TestCommands runs the commands with real controllers.
func TestCommands(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "brasskeel")
	if out, err := exec.Command("go", "build", "-o", binary, "brasskeel/cmd/brasskeel").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	for name, test := range map[string]func(context.Context, *testing.T, string){"up": testUp, "load": testLoad} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), commandTimeout)
			defer cancel()
			test(ctx, t, binary)
		})
	}
}

// executeCommand runs the command with arguments.
func executeCommand(ctx context.Context, out io.Writer, arguments ...string) error {
	root := rootCommand()
	root.SetArgs(arguments)
	root.SetOut(out)
	return root.ExecuteContext(ctx)
}

// checkReport expects an experiment's report in a file.
func checkReport(t *testing.T, file string) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil || !json.Valid(raw) || !bytes.Contains(raw, []byte(`"simulatedMachines": true`)) {
		t.Errorf("report: %v, %d bytes", err, len(raw))
	}
}

// checkPlot expects an experiment's plot in a file.
func checkPlot(t *testing.T, file string) {
	t.Helper()
	drawn, err := os.ReadFile(file)
	if err != nil || !bytes.Contains(drawn, []byte("<svg")) || bytes.Count(drawn, []byte("<path")) < 4 || bytes.Contains(drawn, []byte("href")) {
		t.Errorf("plot: %v, %d bytes", err, len(drawn))
	}
}

// TestExperimentCommand prints a table, shows progress, writes a report and a plot, and refuses
// a wrong file with one line.
func TestExperimentCommand(t *testing.T) {
	const settings = `{"name": "two machines", "machines": 2, "seconds": 8, "seeds": 2, "teams": [{"team": "blue", "jobsPerSecond": 0.5,
		"tasks": 2, "cpus": 1, "runSeconds": 2, "images": 1, "imageGb": 1}], "balance": {}}`
	dir := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		if content != "" {
			if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return path
	}
	var out, progress bytes.Buffer
	report, plot := file("report.json", ""), file("plot.svg", "")
	root := rootCommand()
	root.SetArgs([]string{"experiment", file("e.json", settings), "--json", report, "--svg", plot})
	root.SetOut(&out)
	root.SetErr(&progress)
	if err := root.ExecuteContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"two machines: 2 simulated machines", "jobs done", "wait of blue"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q isn't printed:\n%s", want, out.String())
		}
	}
	if lines := strings.Count(progress.String(), "\n"); lines != 4 {
		t.Errorf("%d lines of progress for four runs", lines)
	}
	checkReport(t, report)
	checkPlot(t, plot)
	for content, names := range map[string]string{strings.Replace(settings, `"cpus": 1`, `"cpus": -1`, 1): "teams[0].cpus", "{": "experiment"} {
		if err := executeCommand(t.Context(), io.Discard, "experiment", file("bad.json", content)); err == nil || !strings.Contains(err.Error(), names) {
			t.Errorf("%s: %v", names, err)
		}
	}
	if err := executeCommand(t.Context(), io.Discard, "experiment", file("none.json", "")); err == nil {
		t.Error("a file that isn't there is taken")
	}
}

// testLoad expects all jobs of a small load to be done.
func testLoad(ctx context.Context, t *testing.T, binary string) {
	var out bytes.Buffer
	if err := executeCommand(ctx, &out, "load", "--binary", binary, "--jobs", "10", "--rate", "10", "--run", "500ms"); err != nil {
		t.Error(err)
	}
	if !strings.HasPrefix(out.String(), "jobs      10, accepted 10, done 10\n") {
		t.Errorf("the summary is\n%s", out.String())
	}
}

// testUp runs a job like a user does, at the address that the command prints.
func testUp(ctx context.Context, t *testing.T, binary string) {
	out, in := io.Pipe()
	running, interrupt := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		err := executeCommand(running, in, "up", "--binary", binary, "--controllers", "2", "--machines", "2")
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
	jobs, err := readJobsURL(out)
	if err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	job := simulator.SampleJob("run-000001", 500*time.Millisecond)
	if _, err := sendWithRetry(ctx, "POST", jobs, protocol.EncodeJob(&job)); err != nil {
		return err
	}
	for {
		state, err := sendWithRetry(ctx, "GET", jobs+"/"+job.ID, nil)
		if err != nil || state == protocol.Done {
			return err
		}
		waitPollInterval(ctx)
	}
}

// waitPollInterval lasts until the user asks again.
func waitPollInterval(ctx context.Context) {
	select {
	case <-time.After(pollInterval):
	case <-ctx.Done():
	}
}

// sendWithRetry sends a user's request until it isn't refused with 503.
func sendWithRetry(ctx context.Context, method, address string, body []byte) (protocol.JobState, error) {
	for {
		status, state, err := sendRequest(ctx, method, address, body)
		if err != nil || status != http.StatusServiceUnavailable {
			return state, err
		}
		waitPollInterval(ctx)
	}
}

// readJobsURL finds the first address that the command prints for jobs.
func readJobsURL(out io.Reader) (string, error) {
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

// sendRequest sends a user's request and reads the state that the answer tells.
func sendRequest(ctx context.Context, method, address string, body []byte) (int, protocol.JobState, error) {
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
	job, err := protocol.ParseJobStatus(answer)
	return response.StatusCode, job.State, err
}

func TestParseExternal(t *testing.T) {
	want := simulator.ExternalMachine{Name: "home-1", Type: "large", Zone: "a", Endpoint: "127.0.0.1:9000"}
	got, err := parseExternal("name=home-1,type=large,zone=a,endpoint=127.0.0.1:9000")
	if err != nil || got != want {
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
	for _, bad := range []string{"", "name", "name=", "name=a,size=3"} {
		if _, err := parseExternal(bad); !errors.Is(err, errExternalSyntax) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
