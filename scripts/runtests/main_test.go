package main

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const failingRun = `{"Action":"output","Package":"p","Test":"TestA","Output":"boom\n"}
{"Action":"fail","Package":"p","Test":"TestA/case"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"fail","Package":"p"}
`

// Guards against a verdict that passes over a test which is not listed, or
// fails for one that is.
func TestVerdictPassesOverExactlyTheListedTests(t *testing.T) {
	failed := collect(strings.NewReader(failingRun), io.Discard)
	require.Equal(t, map[testName]bool{{"p", "TestA"}: true}, failed)
	red := errors.New("exit status 1")
	require.Equal(t, 0, verdict(io.Discard, failed, map[testName]bool{{"p", "TestA"}: true}, red))
	require.Equal(t, 1, verdict(io.Discard, failed, map[testName]bool{{"q", "TestA"}: true}, red))
	require.Equal(t, 1, verdict(io.Discard, failed, nil, red))
	require.Equal(t, 1, verdict(io.Discard, nil, nil, red))
	require.Equal(t, 0, verdict(io.Discard, nil, nil, nil))
}

// Guards against a package that does not build, or ends without a failed test,
// and is taken as passed.
func TestPackageFailuresCount(t *testing.T) {
	for _, run := range []string{
		`{"Action":"fail","Package":"p","FailedBuild":"p"}`,
		`{"Action":"fail","Package":"p"}`,
	} {
		failed := collect(strings.NewReader(run), io.Discard)
		require.Equal(t, 1, verdict(io.Discard, failed, map[testName]bool{{"p", "TestA"}: true}, errors.New("exit status 1")))
	}
}
