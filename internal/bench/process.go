package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of CPU times in /proc, 1/100 s on all Linux platforms
// that Go supports.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used since its start.
type Usage struct {
	CPU time.Duration
	// RSS is the resident memory in bytes.
	RSS int64
	// Anonymous is the part of RSS that is no file, such as the binary.
	Anonymous int64
	// IO is the bytes read and written by system calls, sockets included.
	IO int64
}

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	var u Usage
	for name, parse := range map[string]func([]byte, *Usage) error{
		"stat": parseStat, "status": parseStatus, "io": parseIO,
	} {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
		if err != nil {
			return Usage{}, errors.Wrap(err, "read usage")
		}
		if err := parse(data, &u); err != nil {
			return Usage{}, errors.Wrapf(err, "parse /proc/%d/%s", pid, name)
		}
	}
	return u, nil
}

// parseStat reads user and system time, fields 14 and 15. The name in field 2
// may contain spaces, so fields are counted from its closing parenthesis.
func parseStat(data []byte, u *Usage) error {
	end := bytes.LastIndexByte(data, ')')
	fields := strings.Fields(string(data[end+1:]))
	if end < 0 || len(fields) < 13 {
		return errors.Newf("%d fields after the name", len(fields))
	}
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return errors.Wrap(err, "CPU time")
		}
		u.CPU += time.Duration(ticks) * clockTick
	}
	return nil
}

func parseStatus(data []byte, u *Usage) error {
	rss, err := field(data, "VmRSS:")
	if err != nil {
		return err
	}
	anonymous, err := field(data, "RssAnon:")
	u.RSS, u.Anonymous = rss<<10, anonymous<<10
	return err
}

func parseIO(data []byte, u *Usage) error {
	for _, name := range []string{"rchar:", "wchar:"} {
		n, err := field(data, name)
		if err != nil {
			return err
		}
		u.IO += n
	}
	return nil
}

// field returns the number after a name at the start of a line.
func field(data []byte, name string) (int64, error) {
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == name {
			n, err := strconv.ParseInt(fields[1], 10, 64)
			return n, errors.Wrap(err, name)
		}
	}
	return 0, errors.Newf("no %s", name)
}
