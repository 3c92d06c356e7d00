// Command demo starts a small mesh as separate processes, drives it through
// its main cases and prints stated against seen outcomes. It exits with 0 only
// if all agree.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"heathercroft.example/heathercroft/internal/testbed"
)

func main() {
	cli := kingpin.New("demo", "Runs a small mesh on loopback addresses and checks what it does.")
	bin := cli.Flag("bin", "Directory of the binaries.").Default("bin").String()
	keep := cli.Flag("keep", "Keep settings and logs.").Bool()
	kingpin.MustParse(cli.Parse(os.Args[1:]))
	dir, err := os.MkdirTemp("", "heathercroft-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	bed := testbed.New(dir, *bin)
	d := &demo{bed: bed}
	err = d.run()
	bed.Close()
	agreed := d.table.print(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo stopped:", err)
	}
	if err != nil || !agreed || *keep {
		fmt.Println("settings and logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	if err != nil || !agreed {
		os.Exit(1)
	}
}
