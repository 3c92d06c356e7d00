package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/testbed"
)

// zones and services are those of a mesh with four availability zones and three
// services, one worker of each in each zone.
var (
	zones    = []string{"casa-a", "casa-b", "rabat-a", "rabat-b"}
	services = []string{"finder", "courier", "depot"}
)

const (
	workerSlots = 12
	readyLimit  = 20 * time.Second
)

// member returns the member of a service and version in a zone.
func (d *demo) member(service, version string, zone int) *testbed.Member {
	return d.members[memberName(service, version, zone)]
}

func memberName(service, version string, zone int) string {
	return fmt.Sprintf("%s-%s-%s", service, version, zones[zone])
}

// startAll starts the version of a service in each zone.
func (d *demo) startAll(service, version string) error {
	for zone := range zones {
		m, err := d.bed.Start(testbed.MemberOptions{
			Name: memberName(service, version, zone), Zone: zones[zone], ZoneID: byte(zone + 1),
			Service: service, Version: version, Slots: workerSlots, Seeds: d.seeds,
		})
		if err != nil {
			return err
		}
		d.members[m.Name] = m
		if len(d.seeds) < 4 {
			d.seeds = append(d.seeds, m)
		}
	}
	return nil
}

func (d *demo) waitReady() error {
	for _, m := range d.bed.Members() {
		if err := m.WaitReady(readyLimit); err != nil {
			return err
		}
	}
	return nil
}

// loadSettings writes settings for calls through the first node of each zone.
func (d *demo) loadSettings(paths string, rate float64, duration time.Duration, mix string) string {
	var nodes, targets []string
	for zone := range zones {
		nodes = append(nodes, fmt.Sprintf("%q", d.member("finder", "v1", zone).CallerURL()))
	}
	for _, m := range d.bed.Members() {
		targets = append(targets, fmt.Sprintf("%q", m.TargetURL()))
	}
	return fmt.Sprintf("nodes = [%s]\ntargets = [%s]\npaths = [%s]\nrate = %.1f\ndirect_share = 0.0\nduration = %q\nseed = 1\n%s\n",
		strings.Join(nodes, ","), strings.Join(targets, ","), paths, rate, duration, mix)
}

const mixedCalls = `[mix]
read = 0.7
keyed = 0.25
upload = 0.05
repeat_share = 0.2
concurrent_share = 0.2
upload_bytes = 262144`

const readsOnly = `[mix]
read = 1.0
keyed = 0.0
upload = 0.0`

// command runs an operator's command and fails if there was no reply.
func (d *demo) command(zone int, args ...string) (string, int, error) {
	reply, code, err := d.member("finder", "v1", zone).Command(args...)
	if err != nil {
		return "", code, errors.Wrapf(err, "command %q", strings.Join(args, " "))
	}
	d.last = reply
	return string(reply.Status), code, nil
}
