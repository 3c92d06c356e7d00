// Command heathercroft-timeline collects the events of all processes and writes
// them in one order.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"heathercroft.example/heathercroft/internal/collector"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := collector.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
