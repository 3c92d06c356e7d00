package directory_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/pkg/directory"
)

func departure(id string, start, at int64) directory.Departure {
	return directory.Departure{Process: directory.Process{ID: id, StartUnixMS: start}, AtUnixMS: at}
}

// Guards against a list of departures that grows without a bound, and against the loss of the
// latest ones.
func TestDeparturesAreBoundedByNumberAndTime(t *testing.T) {
	var all []directory.Departure
	for i := range int64(40) {
		all = directory.MergeDepartures(all, []directory.Departure{departure(fmt.Sprint("t", i), 1, i)}, 100)
	}
	require.Len(t, all, directory.MaxDepartures)
	require.Equal(t, "t39", all[0].ID)
	require.NoError(t, directory.ValidateDepartures(all, 100))
	retention := directory.DepartureRetention.Milliseconds()
	require.Len(t, directory.MergeDepartures(all, nil, retention+30), 9, "those after 30 ms")
	require.Equal(t, []directory.Departure{departure("t", 5, 9)}, directory.MergeDepartures(
		[]directory.Departure{departure("t", 5, 7)}, []directory.Departure{departure("t", 3, 9)}, 10))
}

// Guards against a departure that is forgotten by another node when the next process of the node
// announces itself, and against an announcement of an earlier version that is not understood.
func TestDeparturesSurviveLaterAnnouncements(t *testing.T) {
	d := directory.New()
	var former directory.Announcement
	require.NoError(t, json.Unmarshal([]byte(`{"node":"n","zone":"z","start":10,"sequence":3,"rpc":"10.0.0.1:1","call":"10.0.0.1:2",`+
		`"target":{"id":"t","start":5,"service":"s","version":"v","slots":1,"serving":false,"leaving":true}}`), &former))
	require.NoError(t, former.Validate(100))
	for _, a := range []directory.Announcement{former, {Node: "n", StartUnixMS: 20, Sequence: 1, CallAddress: former.CallAddress}} {
		d.RecordDepartures(a, 100)
		d.Update(a, time.Second)
	}
	require.Equal(t, []directory.Departure{departure("t", 5, 100)}, d.Departures("n"))
	d.ExpireDepartures(100 + directory.DepartureRetention.Milliseconds())
	require.Empty(t, d.Departures("n"))
}

// Guards against a target that a departure does not take out of use since its start was not known
// to the process that confirmed it.
func TestDepartureOfALaterStartCoversTheCurrentProcess(t *testing.T) {
	l := newLocalTarget()
	require.True(t, l.HandleHeartbeat(heartbeat("x", 10, 1, false), 0, 100))
	require.True(t, l.MarkDeparted(directory.Process{ID: "x", StartUnixMS: 50}, 0))
	require.False(t, l.Target(0, 100).Serving)
	require.False(t, l.HandleHeartbeat(heartbeat("x", 50, 1, false), 0, 100))
	require.True(t, l.HandleHeartbeat(heartbeat("x", 51, 1, false), 0, 100))
	require.True(t, l.Target(0, 100).Serving)
}

// Guards against a stopped node that other nodes take for one that runs.
func TestStoppedNodeIsNotAdded(t *testing.T) {
	d := directory.New()
	a := directory.Announcement{Node: "n", StartUnixMS: 1, Sequence: 1, CallAddress: netip.MustParseAddrPort("10.0.0.1:2")}
	stopped := a
	stopped.Sequence, stopped.Stopped = 2, true
	require.False(t, d.Update(stopped, 0))
	require.True(t, d.Update(a, 0))
	require.True(t, d.Update(stopped, 0))
	known, _ := d.Get("n")
	require.True(t, known.Stopped)
}
