package build

import (
	"encoding/binary"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that cannot be told from an older build of the same program: the build
// command of the deploy file sets no version, and version control information may be off.
func TestBuildsOfDifferentSourcesHaveDifferentIDs(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module m\n\ngo 1.26\n"), 0o600))
	ids := map[string]bool{}
	for _, linkMode := range []string{"internal", "external"} {
		for _, text := range []string{"old", "new"} {
			require.NoError(t, os.WriteFile(filepath.Join(dir, "main.go"), []byte("package main\n\nfunc main() { println(\""+text+"\") }\n"), 0o600))
			file := filepath.Join(dir, "program")
			command := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-ldflags=-linkmode="+linkMode, "-o", file, ".")
			command.Dir = dir
			out, err := command.CombinedOutput()
			require.NoError(t, err, string(out))
			id, modified, err := readFile(file)
			require.NoError(t, err)
			require.False(t, modified.IsZero())
			want, err := exec.CommandContext(t.Context(), "go", "tool", "buildid", file).Output()
			require.NoError(t, err)
			require.Equal(t, strings.TrimSpace(string(want)), id)
			require.False(t, ids[id], "the ID of another build")
			ids[id] = true
		}
	}
}

// Guards against a process that reports the build of the file that has taken the place of its own.
func TestReplacedProgramTellsItsOwnBuild(t *testing.T) {
	if os.Getenv("BUILD_TEST_REPLACED") != "" {
		path, err := os.Executable()
		require.NoError(t, err)
		require.NoError(t, os.Remove(path))
		require.NoError(t, os.WriteFile(path, []byte("another program"), 0o700))
		require.Empty(t, Current().Error)
		require.NotEmpty(t, Current().ID)
		return
	}
	self, err := os.Executable()
	require.NoError(t, err)
	program, err := os.ReadFile(self)
	require.NoError(t, err)
	replaced := filepath.Join(t.TempDir(), "program")
	require.NoError(t, os.WriteFile(replaced, program, 0o700))
	command := exec.CommandContext(t.Context(), replaced, "-test.run", "^"+t.Name()+"$")
	command.Env = append(os.Environ(), "BUILD_TEST_REPLACED=1")
	out, err := command.CombinedOutput()
	require.NoError(t, err, string(out))
}

// Guards against a program that does not start because its file cannot be read, or is no ELF file.
func TestUnreadableProgramFileIsReported(t *testing.T) {
	text := filepath.Join(t.TempDir(), "text")
	require.NoError(t, os.WriteFile(text, []byte("no program"), 0o600))
	for _, path := range []string{text, filepath.Join(t.TempDir(), "missing")} {
		info := read(path)
		require.NotEmpty(t, info.Error)
		require.Empty(t, info.ID)
		require.NotEmpty(t, info.Toolchain)
		require.Contains(t, info.String(), "error: ")
	}
}

// Guards against a read beyond a note whose header is wrong.
func TestNoteContentOfWrongLength(t *testing.T) {
	note := func(name, content uint32, rest string) []byte {
		data := binary.LittleEndian.AppendUint32(nil, name)
		data = binary.LittleEndian.AppendUint32(data, content)
		data = binary.LittleEndian.AppendUint32(data, 4)
		return append(data, rest...)
	}
	content, err := noteContent(note(4, 2, "Go\x00\x00id"), binary.LittleEndian)
	require.NoError(t, err)
	require.Equal(t, "id", content)
	for _, wrong := range [][]byte{nil, note(4, 2, "Go")[:11], note(4, 3, "Go\x00\x00id"), note(1<<32-1, 1<<32-1, "Go\x00\x00id")} {
		_, err := noteContent(wrong, binary.LittleEndian)
		require.Error(t, err)
	}
}
