// Command stand-3 plays the cases of review/ that a day of the bench cannot show. It starts the nodes as
// separate processes and holds their store, workers and requesters.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

// record is the file with what was sent, answered and run, in seconds from the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

// line adds a line with its time.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// result adds a line that is also printed.
func (r *record) result(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.line(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func main() {
	sidecar := flag.String("sidecar", "target/heathercroft-sidecar", "the program of the deploy file")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := map[string]func(*cluster, bool) (int, error){"http10": oldProtocol, "quota": quotaCut}[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		os.Exit(notRun)
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code := notRun
	c, err := newCluster(*sidecar, r)
	if err == nil {
		stopped := make(chan os.Signal, 1)
		signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		go func() {
			<-stopped
			c.close()
			os.Exit(notRun)
		}()
		code, err = play(c, os.Getenv("TROUBLE") != "0")
		c.close()
	}
	if err != nil {
		r.result("could not run: %v", err)
		code = notRun
	}
	r.close()
	os.Exit(code)
}
