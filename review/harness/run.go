package harness

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// ErrBroken is returned by a case in which the rule was broken.
var ErrBroken = errors.New("the rule was broken")

// limit is how long a case may run; with NATURAL=1, a trial that is no case, naturalLimit.
const (
	limit        = 115 * time.Second
	naturalLimit = 10 * time.Minute
)

// Run runs a case in a cluster of its own and ends the process: with 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run. The first argument of the program is the folder of the case.
// trouble is false if the variable TROUBLE is 0.
func Run(s Settings, play func(c *Cluster, trouble bool) error) {
	runtime.LockOSThread() // the controllers are killed when the thread that started them ends
	os.Exit(run(s, play))
}

func run(s Settings, play func(c *Cluster, trouble bool) error) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		return 2
	}
	rec, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c, err := NewCluster(rec, s)
	if err != nil {
		rec.Logf("can't run: %v", err)
		return 2
	}
	defer c.Close(os.Getenv("CONTROLLER_LOGS"))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for _, k := range c.Controllers {
		if err := k.Start(); err != nil {
			rec.Logf("can't run: %v", err)
			return 2
		}
	}
	result := make(chan error, 1)
	timeout := time.After(limit)
	if os.Getenv("NATURAL") == "1" {
		timeout = time.After(naturalLimit)
	}
	go func() { result <- play(c, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-result:
	case <-signals:
		err = errors.New("interrupted")
	case <-timeout:
		err = errors.New("the time is up")
	}
	switch {
	case err == nil:
		rec.Logf("result: the rule held")
		return 0
	case errors.Is(err, ErrBroken):
		rec.Logf("result: %v", err)
		return 1
	}
	rec.Logf("can't run: %v", err)
	return 2
}
