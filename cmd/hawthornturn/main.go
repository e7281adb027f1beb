// Command hawthornturn runs an entry host and contains the operators' commands.
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(exitCode(err))
}

func newCommand() *cli.Command {
	root := &cli.Command{
		Name:  "hawthornturn",
		Usage: "load balancer for upstreams whose load shifts within milliseconds",
		Commands: []*cli.Command{
			serveCommand(),
			validateCommand(),
			applyCommand(),
			getCommand(),
			watchCommand(),
			waitCommand(),
			dumpCommand(),
			explainCommand(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usagef("unknown command %q", c.Args().First())
			}
			return cli.ShowAppHelp(c)
		},
		// main prints the error and sets the exit code, so that tests see both.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, c := range append([]*cli.Command{root}, root.Commands...) {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usagef("%w", err)
		}
	}
	return root
}
