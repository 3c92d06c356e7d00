// Command runtests runs all tests and exits with 0 only if no test failed but
// those that KNOWN-RED.txt lists. It prints what it passes over.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// knownPrefix begins the line of an entry that names a test:
// "test: <package path> <TestName>".
const knownPrefix = "test: "

// event is a line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
	// FailedBuild is set if the package did not compile.
	FailedBuild string
}

// testName is a test of a package. An empty name stands for the package itself.
type testName struct{ pkg, test string }

func main() {
	known, err := readKnown("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	cmd := exec.Command("go", append([]string{"test", "-json", "-count=1", "-timeout=8m"}, os.Args[1:]...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	failed := collect(out, os.Stdout)
	testErr := cmd.Wait()
	os.Exit(verdict(os.Stdout, failed, known, testErr))
}

func readKnown(path string) (map[testName]bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := map[testName]bool{}
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, knownPrefix)
		if !ok {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) != 2 {
			return nil, fmt.Errorf("%s: %q does not name a package and a test", path, strings.TrimSpace(line))
		}
		known[testName{fields[0], fields[1]}] = true
	}
	return known, nil
}

// collect prints the output of the tests and returns the failed ones. A package
// counts as failed if it did not build, or failed without a failed test.
func collect(in io.Reader, out io.Writer) map[testName]bool {
	failed, blamed := map[testName]bool{}, map[string]bool{}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Fprintln(out, scanner.Text())
			continue
		}
		fmt.Fprint(out, e.Output)
		if e.Action != "fail" {
			continue
		}
		top, _, _ := strings.Cut(e.Test, "/")
		switch {
		case top != "":
			failed[testName{e.Package, top}] = true
			blamed[e.Package] = true
		case e.FailedBuild != "" || !blamed[e.Package]:
			failed[testName{e.Package, ""}] = true
		}
	}
	return failed
}

// verdict prints what was passed over and returns the exit code.
func verdict(out io.Writer, failed, known map[testName]bool, testErr error) int {
	code := 0
	for _, t := range sorted(known) {
		state := "passed this time"
		if failed[t] {
			state = "failed"
		}
		fmt.Fprintf(out, "passed over by KNOWN-RED.txt: %s %s (%s)\n", t.pkg, t.test, state)
	}
	for _, t := range sorted(failed) {
		if !known[t] {
			fmt.Fprintf(out, "failed: %s %s\n", t.pkg, t.test)
			code = 1
		}
	}
	if testErr != nil && len(failed) == 0 {
		fmt.Fprintln(out, "go test:", testErr)
		code = 1
	}
	return code
}

func sorted(set map[testName]bool) []testName {
	return slices.SortedFunc(maps.Keys(set), func(a, b testName) int {
		return strings.Compare(a.pkg+" "+a.test, b.pkg+" "+b.test)
	})
}
