package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/load"
	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/internal/testbed"
	"heathercroft.example/heathercroft/pkg/record"
)

// demo is one run.
type demo struct {
	bed     *testbed.Bed
	table   table
	members map[string]*testbed.Member
	seeds   []*testbed.Member
	last    query.Reply
}

const (
	moveTime    = 30 * time.Second
	loadRate    = 500
	uploadBytes = 32 << 20
	// settleLimit is the bound on a change being in force everywhere.
	settleLimit = 9 * time.Second
)

func (d *demo) run() error {
	d.members = map[string]*testbed.Member{}
	for _, step := range []func() error{
		d.start, d.configure, d.mixedLoad, d.keyedTwice, d.upload, d.moves, d.cutZone, d.gracefulStop,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) start() error {
	if err := d.bed.StartPlatform(""); err != nil {
		return err
	}
	for _, service := range services {
		if err := d.startAll(service, "v1"); err != nil {
			return err
		}
	}
	for _, service := range services[:2] {
		if err := d.startAll(service, "v2"); err != nil {
			return err
		}
	}
	err := d.waitReady()
	d.table.add("20 nodes and 20 targets in 4 zones", "ready", outcome(err, "ready"))
	return err
}

func (d *demo) configure() error {
	var changes []string
	for _, service := range services {
		changes = append(changes, fmt.Sprintf("put service %s version v1; put route %s prefix \"/%s\" to %s", service, service, service, service))
	}
	status, _, err := d.command(0, "batch { "+strings.Join(changes, "; ")+" }")
	if err != nil {
		return err
	}
	d.table.add("three services and their routes in one batch", "done", status)
	status, code, err := d.command(2, "put", "route", "lost", "prefix", "\"/lost\"", "to", "missing")
	d.table.add("route to a service that does not exist", "refused, exit code 1", fmt.Sprintf("%s, exit code %d", status, code))
	return err
}

func (d *demo) mixedLoad() error {
	run, err := d.bed.StartLoad("load-mixed", d.loadSettings(`"/finder", "/courier", "/depot"`, loadRate, 4*time.Second, mixedCalls))
	if err != nil {
		return err
	}
	report, err := run.Wait()
	d.table.add("2000 calls of all kinds, keyed ones repeated", "all answered, 0 lost, mixed up, short or run twice", describeLoad(report))
	return err
}

func describeLoad(r load.Report) string {
	answered := "all answered"
	if r.Node.Answered != r.Node.Sent {
		answered = fmt.Sprintf("%d of %d answered (%d not-run, %d may-have-run, %d broken)",
			r.Node.Answered, r.Node.Sent, r.Node.NotRun, r.Node.MayHaveRun, r.Node.Broken)
	}
	bad := r.Node.Lost + r.Node.MixedUp + r.Node.Truncated + r.Duplicated
	return fmt.Sprintf("%s, %d lost, mixed up, short or run twice", answered, bad)
}

// keyedTwice sends one charge through two nodes, one after the other.
func (d *demo) keyedTwice() error {
	var answers []string
	for zone := range 2 {
		req, err := http.NewRequest(http.MethodPost, d.member("finder", "v1", zone).CallerURL()+"/courier/charge", strings.NewReader("umbrella 7"))
		if err != nil {
			return errors.Wrap(err, "charge")
		}
		req.Header.Set("Idempotency-Key", "charge-umbrella-7")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return errors.Wrap(err, "charge")
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return errors.Wrap(err, "charge")
		}
		answers = append(answers, fmt.Sprintf("%d %s", resp.StatusCode, body))
	}
	runs, err := d.executions("charge-umbrella-7")
	if err != nil {
		return err
	}
	same := "different answers"
	if answers[0] == answers[1] && strings.HasPrefix(answers[0], "200") {
		same = "same answer"
	}
	d.table.add("a charge sent twice through two nodes", "same answer, 1 execution", fmt.Sprintf("%s, %d execution", same, runs))
	return nil
}

func (d *demo) executions(key string) (int, error) {
	total := 0
	for _, m := range d.bed.Members() {
		var ledger struct {
			Keys map[string]int `json:"keys"`
		}
		if err := testbed.Get(m.TargetURL()+"/control/executions", &ledger); err != nil {
			return 0, err
		}
		total += ledger.Keys[key]
	}
	return total, nil
}

func (d *demo) upload() error {
	body := bytes.Repeat([]byte("umbrella photo. "), uploadBytes/16)
	resp, err := http.Post(d.member("depot", "v1", 0).CallerURL()+"/depot/photo", "image/jpeg", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "upload")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	seen := "not whole"
	if strings.Contains(string(answer), fmt.Sprintf("%016x", xxhash.Sum64(body))) {
		seen = "whole"
	}
	d.table.add("an upload of 32 MiB", "whole", seen)
	return errors.Wrap(err, "upload")
}

// moves moves finder to a good version and courier to a bad one at the same time.
func (d *demo) moves() error {
	for zone := range zones {
		fault := map[string]any{"faults": []map[string]any{{"error_share": 0.5}}, "health": "ok", "load_factor": 1.0}
		if err := d.member("courier", "v2", zone).ControlTarget(fault); err != nil {
			return err
		}
	}
	run, err := d.bed.StartLoad("load-moves", d.loadSettings(`"/finder", "/courier"`, loadRate, moveTime+2*time.Second, readsOnly))
	if err != nil {
		return err
	}
	ids := map[string]record.RolloutID{}
	if status, _, err := d.command(0, "batch { put version v2 of finder; put version v2 of courier }"); err != nil || status != "done" {
		return errors.Newf("put version: %s %v %s", status, err, d.last.Reason)
	}
	for _, service := range services[:2] {
		started, _, err := d.command(0, "start", "move", service, "from", "v1", "to", "v2", "by", moveTime.String())
		if err != nil {
			return err
		}
		if started == string(query.StatusRefused) {
			return errors.Newf("start move: %s", d.last.Reason)
		}
		ids[service] = d.last.Revision
	}
	begun := time.Now()
	if err := d.awaitMove("move of finder to a good version by its deadline", ids["finder"], "done", begun); err != nil {
		return err
	}
	if err := d.awaitMove("move of courier to a version that fails half of its calls", ids["courier"], "reversed", begun); err != nil {
		return err
	}
	report, err := run.Wait()
	d.table.add("calls during the moves", "0 lost, mixed up, short or run twice",
		fmt.Sprintf("%d lost, mixed up, short or run twice", report.Node.Lost+report.Node.MixedUp+report.Node.Truncated+report.Duplicated))
	return err
}

func (d *demo) awaitMove(what string, id record.RolloutID, stated string, begun time.Time) error {
	status, _, err := d.command(3, "show", "move", fmt.Sprint(id), "within", (moveTime - time.Since(begun)).Round(time.Second).String())
	if err != nil {
		return err
	}
	if len(d.last.Moves) == 1 && status != stated {
		status += fmt.Sprintf(" at %d bp: %s", d.last.Moves[0].Weight, d.last.Reason)
	}
	d.table.add(what, stated, status)
	return nil
}

// cutZone cuts the last zone off from the others and from the platform.
func (d *demo) cutZone() error {
	last := byte(len(zones))
	for other := byte(0); other < last; other++ {
		d.bed.Network.Cut(last, other)
	}
	served := 0
	for range 20 {
		if testbed.Get(d.member("depot", "v1", 3).CallerURL()+"/depot/stock", nil) == nil {
			served++
		}
	}
	d.table.add("calls inside a zone that is cut off", "20 of 20 served", fmt.Sprintf("%d of 20 served", served))
	status, code, err := d.command(0, "put", "route", "stock", "prefix", "\"/stock\"", "to", "depot", "--within", "10s")
	if err != nil {
		return err
	}
	d.table.add("a change while a zone is cut off", "unknown in rabat-b, exit code 3",
		fmt.Sprintf("%s in %s, exit code %d", status, strings.Join(d.last.UnseenZones, ","), code))
	for other := byte(0); other < last; other++ {
		d.bed.Network.Heal(last, other)
	}
	err = testbed.WaitFor(settleLimit, func() error {
		return testbed.Get(d.member("depot", "v1", 3).CallerURL()+"/stock/umbrella", nil)
	})
	d.table.add("the change after the cut is healed", "in force there within 9 s", outcome(err, "in force there within 9 s"))
	return nil
}

// gracefulStop stops a node and its target while an upload is under way.
func (d *demo) gracefulStop() error {
	m := d.member("depot", "v1", 1)
	reader, writer := io.Pipe()
	done := make(chan string, 1)
	go func() {
		resp, err := http.Post(m.CallerURL()+"/depot/video", "video/mp4", reader)
		if err != nil {
			done <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if _, err := io.ReadAll(resp.Body); err != nil {
			done <- err.Error()
			return
		}
		done <- resp.Status
	}()
	chunk := bytes.Repeat([]byte("v"), 64<<10)
	for i := range 20 {
		if i == 5 {
			go func() { _ = m.Target.Terminate(20 * time.Second) }()
			go func() { _ = m.Node.Terminate(20 * time.Second) }()
		}
		if _, err := writer.Write(chunk); err != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	_ = writer.Close()
	d.table.add("an upload while its node and target stop", "200 OK", <-done)
	return nil
}

func outcome(err error, good string) string {
	if err != nil {
		return err.Error()
	}
	return good
}
