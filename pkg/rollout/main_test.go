package rollout_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that their result is reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20240611"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
