package record_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/record"
)

func allBodies() []record.Body {
	return []record.Body{
		record.PutService{Name: "courier", Version: "v1"},
		record.DeleteService{Name: "courier"},
		record.PutVersion{Service: "courier", Version: "v2"},
		record.DeleteVersion{Service: "courier", Version: "v1"},
		record.PutRoute{Name: "r", Prefix: "/c", Service: "courier"},
		record.DeleteRoute{Name: "r"},
		record.StartRollout{Service: "courier", From: "v1", To: "v2", StartUnixMS: 1, DeadlineUnixMS: 2},
		record.PauseRollout{Rollout: 7},
		record.ResumeRollout{Rollout: 7},
		record.RollBackRollout{Rollout: 7, Cause: record.CauseOperator, Reason: "slow"},
		record.ClaimRollout{Rollout: 7, Holder: "node-1"},
		record.StepRollout{Rollout: 7, Weight: 500},
		record.RolloutVerdict{Rollout: 7, Weight: 500, Reason: "passed"},
		record.CompleteRollout{Rollout: 7},
		record.ClaimKeySlot{Slot: 3, Node: "node-1", Session: "s"},
		record.RenewKeySlots{Node: "node-1", Session: "s", Nonce: 9},
		record.ReleaseKeySlots{Node: "node-1", Session: "s", Successor: "node-2"},
		record.NodeAnnounced{Node: "node-1", Session: "s", Zone: "z", Region: "r", RPCAddress: "10.0.0.1:1", CallAddress: "10.0.0.1:2"},
		record.Batch{Items: []record.BatchItem{{ExpectedRevision: 4, Body: record.DeleteRoute{Name: "r"}}, {Body: record.DeleteService{Name: "s"}}}},
	}
}

// Each kind must have a decoder, and no field may be lost in a round trip.
func TestEncodeDecodeRoundTripOfEachKind(t *testing.T) {
	for _, body := range allBodies() {
		rec := record.Record{ID: "id", Author: "node-1", Base: 3, ExpectedRevision: 2, Epoch: 5, Body: body}
		data, err := record.Encode(rec)
		require.NoError(t, err)
		got, err := record.Decode(data)
		require.NoError(t, err)
		require.Equal(t, rec, got)
	}
}

// A malformed entry that is classified as unsupported would stop all nodes; an
// unsupported record that is classified as malformed would be skipped.
func TestDecodeDistinguishesMalformedFromUnsupported(t *testing.T) {
	for data, want := range map[string]error{
		``:    record.ErrMalformed,
		`{}`:  record.ErrMalformed,
		`[1]`: record.ErrMalformed,
		`{"schema":1,"id":"","kind":"put-service","body":{}}`:                               record.ErrMalformed,
		`{"schema":1,"id":"a","kind":"put-service","body":{"nam":"x"}}`:                     record.ErrMalformed,
		`{"schema":1,"id":"a","kind":"batch","body":[]}`:                                    record.ErrMalformed,
		`{"schema":1,"id":"a","kind":"batch","body":[{"kind":"batch","body":[]}]}`:          record.ErrMalformed,
		`{"schema":102,"id":"a","kind":"put-service","body":{}}`:                            record.ErrMalformed,
		`{"schema":1,"id":"a","kind":"Other kind","body":{}}`:                               record.ErrMalformed,
		`{"schema":1,"id":"a","kind":"batch","body":[{"kind":"Other kind","body":1}]}`:      record.ErrMalformed,
		`{"schema":101,"id":"a","kind":"put-service","body":{}}`:                            record.ErrUnsupported,
		`{"schema":2,"id":"a","kind":"put-service","body":{}}`:                              record.ErrUnsupported,
		`{"schema":1,"id":"a","kind":"from-the-future","body":{}}`:                          record.ErrUnsupported,
		`{"schema":1,"id":"a","kind":"batch","body":[{"kind":"from-the-future","body":1}]}`: record.ErrUnsupported,
	} {
		_, err := record.Decode([]byte(data))
		require.ErrorIs(t, err, want, data)
	}
	_, err := record.Decode(make([]byte, record.MaxSize+1))
	require.ErrorIs(t, err, record.ErrMalformed)
}

// Decode must not panic, and a decoded record must survive another round trip.
func FuzzDecode(f *testing.F) {
	for _, body := range allBodies() {
		data, err := record.Encode(record.Record{ID: "id", Author: "node-1", Base: 3, Body: body})
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"schema":1,"id":"a","kind":"put-service","body":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := record.Decode(data)
		if err != nil {
			return
		}
		again, err := record.Encode(rec)
		if err != nil {
			require.ErrorIs(t, err, record.ErrTooLarge)
			return
		}
		second, err := record.Decode(again)
		require.NoError(t, err)
		require.Equal(t, rec, second)
	})
}
