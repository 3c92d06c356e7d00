package node

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/core"
	"heathercroft.example/heathercroft/internal/rpc"
)

var methods = []string{
	core.MethodMembership, core.MethodPush, core.MethodPull, core.MethodPullResponse, core.MethodEvidence,
	core.MethodHolderStatus, core.MethodCut, core.MethodCrash, core.MethodHandover, core.MethodHandoverReply,
}

// Guards against malformed messages from other nodes that are accepted as valid.
func TestMalformedMessagesAreRefused(t *testing.T) {
	for _, method := range methods {
		_, err := decodeMessage(method, json.RawMessage(`"no object"`))
		require.ErrorIs(t, err, rpc.ErrBadParams, method)
		_, err = decodeMessage(method, nil)
		require.ErrorIs(t, err, rpc.ErrBadParams, method)
		event, err := decodeMessage(method, json.RawMessage(`{}`))
		require.NoError(t, err, method)
		require.NotNil(t, event)
	}
	_, err := decodeMessage("no.such.method", json.RawMessage(`{}`))
	require.ErrorIs(t, err, rpc.ErrUnknownMethod)
}

// Guards against a reducer that panics on a message that decodes but has invalid
// contents: a faulty peer must not stop this node.
func FuzzMessages(f *testing.F) {
	for i := range methods {
		f.Add(byte(i), []byte(`{}`))
	}
	f.Add(byte(0), []byte(`{"from":{"node":"n","session":"s","zone":"z","rpc":"127.0.0.1:1"},"digest":{"zones":[{"zone":"z"}]}}`))
	f.Add(byte(1), []byte(`{"from":"n","root":"n","entries":[{"offset":1,"data":"e30="},{"offset":3,"data":""}]}`))
	f.Add(byte(3), []byte(`{"from":"n","id":1,"have":9,"applied":9,"snapshot":{"revision":9,"data":"AAAA"},"confirmed_age_ms":-9}`))
	f.Add(byte(4), []byte(`{"rollout":1,"source":"n","totals":[{"service":"s","calls":1,"failures":1,"latency":[70,1]}]}`))
	f.Add(byte(8), []byte(`{"from":"n","slots":[{"slot":99,"keys":[{"key":"k"}]},{"slot":-1}]}`))
	f.Fuzz(func(t *testing.T, method byte, params []byte) {
		event, err := decodeMessage(methods[int(method)%len(methods)], params)
		if err != nil {
			return
		}
		c := core.New(core.Config{Seed: 1})
		c.Step(core.Time{Now: 1, UnixMS: 1}, core.Started{})
		c.Step(core.Time{Now: 2, UnixMS: 2}, event)
		c.Step(core.Time{Now: 3, UnixMS: 3}, event)
		c.Step(core.Time{Now: 1_000_000_000, UnixMS: 1000}, core.Tick{})
	})
}
