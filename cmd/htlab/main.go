// Command htlab runs simulated platforms and upstreams for tests of hawthornturn, and
// experiments and measurements of it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit status.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cli.Command{
		Name:  "htlab",
		Usage: "simulated platform and upstreams, and experiments, for hawthornturn",
		Commands: []*cli.Command{
			platformCommand(),
			upstreamCommand(),
			loadCommand(),
			certsCommand(),
			controlCommand(),
			compareCommand(),
			demoCommand(),
			domainsCommand(),
			soakCommand(),
			capacityCommand(),
		},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "htlab:", err)
		return 1
	}
	return 0
}
