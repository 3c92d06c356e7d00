// Command bench measures the product and writes tables and figures under
// docs/figures. Each part can run alone.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"heathercroft.example/heathercroft/internal/bench"
)

// limit ends a run that hangs.
const limit = 10 * time.Minute

// options are the flags of all parts.
type options struct {
	bin, out string
	seed     uint64
	// sizes and settle concern the part bytes.
	sizes  []int
	settle time.Duration
	// alone is set if only one part runs.
	alone bool
}

// part is one benchmark.
type part struct {
	name, help string
	run        func(context.Context, options, *bench.Output) error
}

func main() {
	cli := kingpin.New("bench", "Measures the product. Without a part, all of them run.")
	var o options
	cli.Flag("bin", "Directory of the binaries.").Default("bin").StringVar(&o.bin)
	cli.Flag("out", "Directory of the tables and figures.").Default("docs/figures").StringVar(&o.out)
	cli.Flag("seed", "Seed of the schedules and reducers.").Default("1").Uint64Var(&o.seed)
	cli.Flag("size", "Number of node processes in the part bytes; may be repeated.").Default("2", "4", "8", "16", "32").IntsVar(&o.sizes)
	cli.Flag("settle", "Time before node processes are measured. Probes carry updates from the start for minutes.").
		Default("4s").DurationVar(&o.settle)
	cpu := cli.Flag("cpuprofile", "File for a CPU profile of this process.").String()
	wanted := cli.Arg("part", "Parts: "+strings.Join(names(), ", ")+".").Enums(names()...)
	kingpin.MustParse(cli.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if *cpu != "" {
		file, err := os.Create(*cpu)
		cli.FatalIfError(err, "create CPU profile")
		cli.FatalIfError(pprof.StartCPUProfile(file), "start CPU profile")
		defer pprof.StopCPUProfile()
	}
	if err := run(ctx, o, *wanted); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options, wanted []string) error {
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return err
	}
	o.alone = len(wanted) == 1
	for _, p := range parts {
		if len(wanted) > 0 && !slices.Contains(wanted, p.name) {
			continue
		}
		start := time.Now()
		command := "go run ./scripts/bench " + strings.Join(append(flagsOf(os.Args[1:], names()), p.name), " ")
		if err := p.run(ctx, o, bench.NewOutput(o.out, command)); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		fmt.Printf("%s took %.0f s\n", p.name, time.Since(start).Seconds())
	}
	return ctx.Err()
}

func names() []string {
	var list []string
	for _, p := range parts {
		list = append(list, p.name)
	}
	return list
}

// flagsOf returns the arguments without the names of parts and without the
// directories, which differ between machines.
func flagsOf(args, parts []string) []string {
	var flags []string
	for i := 0; i < len(args); i++ {
		switch {
		case args[i] == "--bin" || args[i] == "--out" || args[i] == "--cpuprofile":
			i++
		case !slices.Contains(parts, args[i]):
			flags = append(flags, args[i])
		}
	}
	return flags
}

// withDir runs a part with a directory for settings and logs of processes.
func withDir(run func(dir string) error) error {
	dir, err := os.MkdirTemp("", "heathercroft-bench-")
	if err != nil {
		return err
	}
	if err := run(dir); err != nil {
		return fmt.Errorf("%w (logs in %s)", err, dir)
	}
	return os.RemoveAll(dir)
}
