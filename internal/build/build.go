// Package build tells which build of a program runs.
//
// The commit is known only if the program was built from a checkout with version control
// information. The build ID is always known: the Go linker derives it from everything that was
// compiled. "go tool buildid FILE" prints it for a file.
package build

import (
	"debug/elf"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Info identifies a build. Its JSON names are used in logs and metrics.
type Info struct {
	// ID is the Go build ID of the program file, "" if it could not be read.
	ID string `json:"id"`
	// Commit is the commit of the sources, "" if it is not known. Modified is set if the sources
	// differed from it.
	Commit   string `json:"commit,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	// FileTime is when the program file was last written.
	FileTime time.Time `json:"file_time,omitzero"`
	// Toolchain is the version of Go, Platform the operating system and the processor.
	Toolchain string `json:"toolchain"`
	Platform  string `json:"platform"`
	// Race is set if the program was built with the race detector.
	Race bool `json:"race,omitempty"`
	// Error tells why ID or FileTime is missing.
	Error string `json:"error,omitempty"`
}

// programFile is the file that the process runs, also after another one has taken its place or it
// was deleted.
const programFile = "/proc/self/exe"

// Current returns the build of this program. The file is read once, when it is called first.
var Current = sync.OnceValue(func() Info { return read(programFile) })

// read returns the build of this program, whose file is at path.
func read(path string) Info {
	info := settingsInfo()
	id, modified, err := readFile(path)
	if err != nil {
		info.Error = err.Error()
		return info
	}
	info.ID, info.FileTime = id, modified
	return info
}

// settingsInfo returns what the program itself contains about its build.
func settingsInfo() Info {
	info := Info{Toolchain: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	contained, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	for _, s := range contained.Settings {
		switch s.Key {
		case "vcs.revision":
			info.Commit = s.Value
		case "vcs.modified":
			info.Modified = s.Value == "true"
		case "-race":
			info.Race = s.Value == "true"
		}
	}
	return info
}

func readFile(path string) (id string, modified time.Time, err error) {
	f, err := os.Open(path)
	if err != nil {
		return "", time.Time{}, errors.Wrap(err, "open the program file")
	}
	defer func() { _ = f.Close() }()
	stat, err := f.Stat()
	if err != nil {
		return "", time.Time{}, errors.Wrap(err, "program file")
	}
	id, err = readID(f)
	return id, stat.ModTime().UTC(), err
}

const (
	// idSection is the section of the note that holds the Go build ID.
	idSection = ".note.go.buildid"
	// maxNoteBytes limits the size of the note that is read.
	maxNoteBytes = 4 << 10
	// noteHeaderBytes is the size of the header of a note: the lengths of its name and its
	// content, and its type, of four bytes each.
	noteHeaderBytes = 12
	// noteAlignment is the alignment of the content of a note in bytes.
	noteAlignment = 4
)

// readID returns the Go build ID of an ELF file.
func readID(r io.ReaderAt) (string, error) {
	file, err := elf.NewFile(r)
	if err != nil {
		return "", errors.Wrap(err, "read the program file")
	}
	section := file.Section(idSection)
	if section == nil {
		return "", errors.Newf("the program file has no section %s", idSection)
	}
	if section.Size > maxNoteBytes {
		return "", errors.Newf("the section %s has %d bytes, %d allowed", idSection, section.Size, maxNoteBytes)
	}
	note, err := section.Data()
	if err != nil {
		return "", errors.Wrapf(err, "read the section %s", idSection)
	}
	return noteContent(note, file.ByteOrder)
}

// noteContent returns the content of an ELF note.
func noteContent(note []byte, order binary.ByteOrder) (string, error) {
	if len(note) < noteHeaderBytes {
		return "", errors.Newf("the note of the build ID has %d bytes", len(note))
	}
	name, content := uint64(order.Uint32(note)), uint64(order.Uint32(note[4:]))
	start := noteHeaderBytes + (name+noteAlignment-1)/noteAlignment*noteAlignment
	if start+content > uint64(len(note)) {
		return "", errors.Newf("the note of the build ID has %d bytes, and its header says %d", len(note), start+content)
	}
	return string(note[start : start+content]), nil
}

// String returns the build in one line, as --version prints it.
func (i Info) String() string {
	commit := i.Commit
	switch {
	case commit == "":
		commit = "unknown"
	case i.Modified:
		commit += " (modified)"
	}
	parts := []string{"build " + i.ID, "commit " + commit, i.Toolchain, i.Platform}
	if !i.FileTime.IsZero() {
		parts = append(parts, "written "+i.FileTime.Format(time.RFC3339))
	}
	if i.Race {
		parts = append(parts, "race detector")
	}
	if i.Error != "" {
		parts = append(parts, fmt.Sprintf("error: %s", i.Error))
	}
	return strings.Join(parts, ", ")
}
