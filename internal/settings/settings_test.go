package settings

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func example(t require.TestingT, name string) string {
	data, err := os.ReadFile("../../examples/" + name)
	require.NoError(t, err)
	return string(data)
}

// uncommented activates the keys that are commented out in an example.
func uncommented(text string) string {
	return regexp.MustCompile(`(?m)^# ([a-z_]+ = )`).ReplaceAllString(text, "$1")
}

// Guards against examples that don't load, or whose defaults differ from the code.
func TestExamplesLoadAndStateTheDefaults(t *testing.T) {
	for name, make := range map[string]func() Validator{
		"node.toml":     func() Validator { n := DefaultNode(); return &n },
		"operator.toml": func() Validator { o := DefaultOperator(); return &o },
		"timeline.toml": func() Validator { c := DefaultTimeline(); return &c },
	} {
		text, plain, full := example(t, name), make(), make()
		require.NoError(t, Parse(name, []byte(text), plain))
		require.NotEqual(t, text, uncommented(text))
		require.NoError(t, Parse(name, []byte(uncommented(text)), full))
		require.Equal(t, plain, full, name)
	}
}

// Guards against errors that don't identify the invalid key.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`zone = "casa-a"`, ``, `n.toml: the table [node] lacks the required key "zone"`},
		{`url = "http://10.1.9.1:7100"`, ``, `n.toml: the table [platform] lacks the required key "url"`},
		{`zone = "casa-a"`, `zone = "casa a"`, `n.toml:9:8: key "node.zone": "casa a" is not a valid name`},
		{`zone = "casa-a"`, `zon = "casa-a"`, `n.toml:9:1: unknown key "node.zon"; did you mean "node.zone"?`},
		{`zone = "casa-a"`, `lease = "60s"`, `n.toml:9:1: unknown key "node.lease"; did you mean "keys.lease"?`},
		{`zone = "casa-a"`, `xyzzy = 1`, `n.toml:9:1: unknown key "node.xyzzy"`},
		{`"10.1.0.11:7000"`, `"localhost:7000"`, `n.toml:13:10: key "listen.caller": "localhost:7000" is not an IP address with a port`},
		{`"10.1.0.11:7000"`, `"10.1.0.11"`, `is not an IP address with a port`},
		{`"10.1.0.11:7000"`, `"10.1.0.11:7001"`, `n.toml:14: key "listen.rpc": 10.1.0.11:7001 is used by "listen.caller" too`},
		{`"10.1.0.11:7001"`, `"0.0.0.0:7001"`, `n.toml:14: key "listen.rpc": 0.0.0.0:7001 is announced to other nodes`},
		{`"http://10.1.9.1:7100"`, `"http://platform:7100"`, `key "platform.url": "http://platform:7100" is no base URL`},
		{`append_timeout = "2s"`, `append_timeout = 2`, `n.toml:24:18: key "platform.append_timeout": "2" is not a duration; write a number with a unit`},
		{`append_timeout = "2s"`, `append_timeout = "2sec"`, `"2sec" is not a duration`},
		{`append_timeout = "2s"`, `append_timeout = "2us"`, `n.toml:24: key "platform.append_timeout": 2µs is not between 10ms and 5m0s`},
		{`read_timeout = "3s"`, `read_timeout = 10`, `key "platform.read_timeout": "10" is not a duration`},
		{`read_timeout = "3s"`, `read_timeout = 0`, `key "platform.read_timeout": 0 must be written in quotes`},
		{`read_timeout = "3s"`, `Read_Timeout = 10`, `key "platform.read_timeout": "10" is not a duration`},
		{`margin = "10s"`, `margin = "1s"`, `key "keys.margin": 1s is not between 1.5s and 1h0m0s`},
		{`upload_size = "64KiB"`, `upload_size = "64KB"`, `key "limits.upload_size": "64KB" is not a size`},
		{`upload_size = "64KiB"`, `upload_size = "2GiB"`, `key "limits.upload_size": 2GiB is not between 1B and 1GiB`},
		{`events = 1024`, `events = 0`, `key "log.events": 0 is not between 1 and 1000000`},
		{`connections = 4096`, `connections = "many"`, `key "limits.connections": `},
		{`horizon = "5m"`, `horizon = "25h"`, `key "keys.horizon": 25h0m0s is not between 1s and 24h0m0s`},
		{`level = "info"`, `level = "loud"`, `key "log.level": `},
		{`["10.1.0.12:7001"`, `["10.1.0.11:7001"`, `key "peers.seeds": seed 1, 10.1.0.11:7001, is this node itself`},
		{`[drain]`, `[drain`, `n.toml:41`},
		{`[drain]`, `[[drain]]`, `drain`},
	} {
		text := uncommented(example(t, "node.toml"))
		require.Contains(t, text, c.old)
		n := DefaultNode()
		err := Parse("n.toml", []byte(strings.Replace(text, c.old, c.new, 1)), &n)
		require.ErrorContains(t, err, c.want, c.new)
	}
}

// Guards against a settings check that succeeds for an invalid or missing file.
func TestCheckExitCodes(t *testing.T) {
	var out, errOut bytes.Buffer
	o := DefaultOperator()
	require.Equal(t, 0, Check(&out, &errOut, "../../examples/operator.toml", &o))
	require.Equal(t, "../../examples/operator.toml: ok\n", out.String())
	require.Empty(t, errOut.String())
	require.Equal(t, 2, Check(&out, &errOut, "../../examples/node.toml", &o))
	require.Equal(t, 2, Check(&out, &errOut, "", &o))
	require.Equal(t, 2, Check(&out, &errOut, t.TempDir()+"/none.toml", &o))
	require.Contains(t, errOut.String(), "unknown key")
}

// Guards against panics, and against accepted settings that violate a rule.
func FuzzParse(f *testing.F) {
	f.Add([]byte(uncommented(example(f, "node.toml"))))
	f.Add([]byte("[node]\nzone = 'a'\nid.x = 1"))
	f.Add([]byte("[keys]\nlease = \"9223372036854775807h\"\n[[peers]]\nseeds = [1]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := DefaultNode()
		err := Parse("f.toml", data, &n)
		if err != nil {
			require.Contains(t, err.Error(), "f.toml")
			return
		}
		require.NoError(t, n.Validate())
		require.NotEmpty(t, n.Node.Zone)
		require.True(t, n.Listen.RPC.IsValid())
	})
}
