package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hawthornturn/io/hthost"
	"hawthornturn/io/htsettings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host until SIGTERM, then make a planned stop; a second SIGTERM ends it at once",
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
	host, err := hthost.New(settings)
	if err != nil {
		return err
	}
	host.PublishExpvar()
	fmt.Fprintf(c.Root().Writer, "ready callers=%s operators=%s\n", host.CallersAddr(), host.OperatorsAddr())
	go stopOnSecondSignal(ctx, host)
	return host.Run(ctx)
}

// stopOnSecondSignal ends a planned stop at once when the operator asks again.
func stopOnSecondSignal(ctx context.Context, host *hthost.Host) {
	<-ctx.Done()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGTERM, os.Interrupt)
	<-again
	host.StopNow()
}
