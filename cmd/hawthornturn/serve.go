package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hawthornturn/io/hthost"
	"hawthornturn/io/htsettings"
)

// softMemoryShare is the share of the memory of the process above which the garbage collector works
// harder. The rest is for the kernel's buffers.
const softMemoryShare = 0.8

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host until SIGTERM, then perform a planned stop; a second SIGTERM stops it immediately",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	settings, err := htsettings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	logrus.SetLevel(settings.LogLevel)
	debug.SetMemoryLimit(int64(softMemoryShare * float64(settings.Limits.MemoryBytes)))
	host, err := hthost.New(settings)
	if err != nil {
		return err
	}
	host.PublishExpvar()
	fmt.Fprintf(c.Root().Writer, "ready callers=%s operators=%s\n", host.CallersAddr(), host.OperatorsAddr())
	go stopOnSecondSignal(ctx, host)
	return host.Run(ctx)
}

// stopOnSecondSignal stops the host immediately on a second signal during a planned stop.
func stopOnSecondSignal(ctx context.Context, host *hthost.Host) {
	<-ctx.Done()
	second := make(chan os.Signal, 1)
	signal.Notify(second, syscall.SIGTERM, os.Interrupt)
	<-second
	host.StopNow()
}
