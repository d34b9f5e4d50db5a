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

// commandTimeout limits how long a test waits for a command; pollInterval is the pause between
// requests while it polls.
const (
	commandTimeout = 40 * time.Second
	pollInterval   = 200 * time.Millisecond
)

// TestCommands runs the up and load commands with real controller processes.
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

// executeCommand runs standin with the given arguments.
func executeCommand(ctx context.Context, out io.Writer, arguments ...string) error {
	root := rootCommand()
	root.SetArgs(arguments)
	root.SetOut(out)
	return root.ExecuteContext(ctx)
}

// checkReport checks that a file holds an experiment's report.
func checkReport(t *testing.T, file string) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil || !json.Valid(raw) || !bytes.Contains(raw, []byte(`"simulatedMachines": true`)) {
		t.Errorf("invalid report: error %v, %d bytes", err, len(raw))
	}
}

// checkPlot checks that a file holds an SVG plot of at least four lines without external references.
func checkPlot(t *testing.T, file string) {
	t.Helper()
	svg, err := os.ReadFile(file)
	if err != nil || !bytes.Contains(svg, []byte("<svg")) || bytes.Count(svg, []byte("<path")) < 4 || bytes.Contains(svg, []byte("href")) {
		t.Errorf("invalid plot: error %v, %d bytes", err, len(svg))
	}
}

// TestExperimentCommand checks that the experiment command prints a table and its progress, writes
// a report and a plot, and rejects an invalid file with an error that names the fault.
func TestExperimentCommand(t *testing.T) {
	const settings = `{"name": "two machines", "machines": 2, "seconds": 8, "seeds": 2, "teams": [{"team": "blue", "jobsPerSecond": 0.5,
		"tasks": 2, "cpus": 1, "runSeconds": 2, "images": 1, "imageGb": 1}], "balance": {}}`
	dir := t.TempDir()
	writeFile := func(name, content string) string {
		path := filepath.Join(dir, name)
		if content != "" {
			if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return path
	}
	var out, progress bytes.Buffer
	report, plot := writeFile("report.json", ""), writeFile("plot.svg", "")
	root := rootCommand()
	root.SetArgs([]string{"experiment", writeFile("e.json", settings), "--json", report, "--svg", plot})
	root.SetOut(&out)
	root.SetErr(&progress)
	if err := root.ExecuteContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"two machines: 2 simulated machines", "jobs done", "wait of blue"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
	if lines := strings.Count(progress.String(), "\n"); lines != 4 {
		t.Errorf("got %d lines of progress, want one for each of 4 runs", lines)
	}
	checkReport(t, report)
	checkPlot(t, plot)
	for content, wantInError := range map[string]string{strings.Replace(settings, `"cpus": 1`, `"cpus": -1`, 1): "teams[0].cpus", "{": "experiment"} {
		if err := executeCommand(t.Context(), io.Discard, "experiment", writeFile("bad.json", content)); err == nil || !strings.Contains(err.Error(), wantInError) {
			t.Errorf("invalid experiment: want an error that contains %q, got %v", wantInError, err)
		}
	}
	if err := executeCommand(t.Context(), io.Discard, "experiment", writeFile("none.json", "")); err == nil {
		t.Error("an experiment file that does not exist was accepted")
	}
}

// testLoad checks that all jobs of a small load are done.
func testLoad(ctx context.Context, t *testing.T, binary string) {
	var out bytes.Buffer
	if err := executeCommand(ctx, &out, "load", "--binary", binary, "--jobs", "10", "--rate", "10", "--run", "500ms"); err != nil {
		t.Error(err)
	}
	if !strings.HasPrefix(out.String(), "jobs      10, accepted 10, done 10\n") {
		t.Errorf("unexpected summary:\n%s", out.String())
	}
}

// testUp runs a job, as a user would, at the address that the up command prints.
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

// runJob submits a job and polls its state until it is done. Requests that are answered with 503
// are retried, as users do.
func runJob(ctx context.Context, out *io.PipeReader) error {
	jobsURL, err := readJobsURL(out)
	if err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	job := simulator.SampleJob("run-000001", 500*time.Millisecond)
	if _, err := sendWithRetry(ctx, "POST", jobsURL, protocol.EncodeJob(&job)); err != nil {
		return err
	}
	for {
		state, err := sendWithRetry(ctx, "GET", jobsURL+"/"+job.ID, nil)
		if err != nil || state == protocol.Done {
			return err
		}
		waitPollInterval(ctx)
	}
}

// waitPollInterval waits for pollInterval, or until ctx ends.
func waitPollInterval(ctx context.Context) {
	select {
	case <-time.After(pollInterval):
	case <-ctx.Done():
	}
}

// sendWithRetry sends a user's request and retries it as long as the answer is 503.
func sendWithRetry(ctx context.Context, method, url string, body []byte) (protocol.JobState, error) {
	for {
		status, state, err := sendRequest(ctx, method, url, body)
		if err != nil || status != http.StatusServiceUnavailable {
			return state, err
		}
		waitPollInterval(ctx)
	}
}

// readJobsURL returns the first URL for jobs in the command's output.
func readJobsURL(out io.Reader) (string, error) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		for word := range strings.FieldsSeq(lines.Text()) {
			if strings.HasSuffix(word, protocol.PathJobs) {
				return word, nil
			}
		}
	}
	return "", errors.Join(lines.Err(), errors.New("no URL for jobs in the output"))
}

// sendRequest sends a user's request and returns the HTTP status and the job state of the response.
func sendRequest(ctx context.Context, method, url string, body []byte) (int, protocol.JobState, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusServiceUnavailable {
		return response.StatusCode, 0, err
	}
	job, err := protocol.ParseJobStatus(responseBody)
	return response.StatusCode, job.State, err
}

func TestParseExternal(t *testing.T) {
	want := simulator.ExternalMachine{Name: "home-1", Type: "large", Zone: "a", Endpoint: "127.0.0.1:9000"}
	got, err := parseExternal("name=home-1,type=large,zone=a,endpoint=127.0.0.1:9000")
	if err != nil || got != want {
		t.Errorf("parseExternal: got %+v, error %v, want %+v", got, err, want)
	}
	for _, invalid := range []string{"", "name", "name=", "name=a,size=3"} {
		if _, err := parseExternal(invalid); !errors.Is(err, errExternalSyntax) {
			t.Errorf("parseExternal(%q): error %v, want errExternalSyntax", invalid, err)
		}
	}
}
