// Command demo starts a small mesh as separate processes, drives it through
// its main cases and prints stated against seen outcomes. It exits with 0 only
// if all agree.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"heathercroft.example/heathercroft/internal/testbed"
)

func main() {
	cli := kingpin.New("demo", "Runs a small mesh on loopback addresses and checks what it does.")
	bin := cli.Flag("bin", "Directory of the binaries.").Default("bin").String()
	kingpin.MustParse(cli.Parse(os.Args[1:]))
	dir, err := os.MkdirTemp("", "heathercroft-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	bed := testbed.New(dir, *bin)
	err = run(bed)
	bed.Close()
	if err != nil {
		fmt.Fprintf(os.Stderr, "demo failed: %v (logs in %s)\n", err, dir)
		os.Exit(1)
	}
	_ = os.RemoveAll(dir)
}

func run(bed *testbed.Bed) error {
	if err := bed.StartPlatform(""); err != nil {
		return err
	}
	var seeds []*testbed.Member
	for zone := range 4 {
		m, err := bed.Start(testbed.MemberOptions{
			Name: fmt.Sprintf("finder-%d", zone+1), Zone: fmt.Sprintf("zone-%d", zone+1), ZoneID: byte(zone + 1),
			Service: "finder", Version: "v1", Slots: 12, Seeds: seeds,
		})
		if err != nil {
			return err
		}
		if len(seeds) < 2 {
			seeds = append(seeds, m)
		}
	}
	for _, m := range bed.Members() {
		if err := m.WaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	for _, command := range []string{"put service finder version v1", `put route finder prefix "/finder" to finder`} {
		var reply map[string]any
		id := fmt.Sprintf("demo-%d", time.Now().UnixNano())
		if err := testbed.Post(seeds[0].AdminURL()+"/heathercroft/v1/command", map[string]any{"id": id, "command": command}, &reply); err != nil {
			return err
		}
		fmt.Println(command, "->", reply["status"], reply["reason"])
	}
	for _, m := range bed.Members() {
		var answer map[string]any
		if err := testbed.Get(m.CallerURL()+"/finder/umbrella", &answer); err != nil {
			return err
		}
		fmt.Println(m.Name, "answered by", answer["target"])
	}
	return nil
}
