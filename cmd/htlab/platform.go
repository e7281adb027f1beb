package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"hawthornturn/internal/htstand"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a simulated table service, object store and host list until SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on"},
			&cli.FloatFlag{Name: "writes-per-sec", Value: htstand.DefaultWritesPerSec, Usage: "limit of writes per second"},
			&cli.FloatFlag{Name: "reads-per-sec", Value: htstand.DefaultReadsPerSec, Usage: "limit of reads per second"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	p := htstand.NewPlatform()
	p.SetFaults(func(f *htstand.PlatformFaults) {
		f.WritesPerSec = c.Float("writes-per-sec")
		f.ReadsPerSec = c.Float("reads-per-sec")
	})
	if err := p.Start(c.String("listen")); err != nil {
		return err
	}
	defer p.Close()
	fmt.Fprintf(c.Root().Writer, "ready address=%s\n", p.Address())
	<-ctx.Done()
	return nil
}
