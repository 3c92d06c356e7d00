package content_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/internal/content"
)

// A verifier that accepts a changed, moved or foreign byte would hide responses that
// were delivered to the wrong request.
func TestVerifierFindsEveryDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.String().Draw(t, "seed")
		data, err := io.ReadAll(content.NewReader(seed, rapid.Int64Range(1, 5000).Draw(t, "size")))
		require.NoError(t, err)
		verifier := content.NewVerifier(seed)
		cut := rapid.IntRange(0, len(data)).Draw(t, "cut")
		_, err = verifier.Write(data[:cut])
		require.NoError(t, err)
		_, err = verifier.Write(data[cut:])
		require.NoError(t, err)
		require.EqualValues(t, len(data), verifier.Count)

		changed := bytes.Clone(data)
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		changed[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		_, err = content.NewVerifier(seed).Write(changed)
		require.True(t, errors.Is(err, content.ErrMismatch))
	})
}

// The contents of different requests must differ within the first bytes, or mixed-up
// short responses would go undetected.
func TestSeedsDiffer(t *testing.T) {
	seen := map[string]bool{}
	for _, seed := range []string{"", "0", "run-1", "run-2", "run-11", "run-1.r1"} {
		data, err := io.ReadAll(content.NewReader(seed, 8))
		require.NoError(t, err)
		require.False(t, seen[string(data)])
		seen[string(data)] = true
	}
}
