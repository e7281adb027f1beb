package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hawthornturn/internal/htlab"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "send calls while injecting random faults, and fail on any violation",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Value: "caroni", Usage: "`NAME` of the workload"},
			&cli.IntFlag{Name: "hosts", Value: 5, Usage: "number of entry hosts"},
			&cli.FloatFlag{Name: "load", Value: 0.2, Usage: "rate of the calls as a share of the upstreams' capacity"},
			&cli.DurationFlag{Name: "duration", Value: time.Minute, Usage: "time during which faults are injected"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the faults and calls"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	logrus.SetLevel(logrus.ErrorLevel)
	workload, err := htlab.FindWorkload(c.String("workload"))
	if err != nil {
		return err
	}
	seed := c.Uint64("seed")
	out := c.Root().Writer
	fmt.Fprintf(out, "seed=%d\n", seed)
	s := htlab.Soak{
		Workload: workload, Hosts: c.Int("hosts"), Load: c.Float("load"), Duration: c.Duration("duration"), Seed: seed,
		Log: func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) },
	}
	result, err := s.Run(ctx)
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if len(result.Violations) > 0 {
		err = errors.Join(err, fmt.Errorf("seed %d: %s", seed, strings.Join(result.Violations, "; ")))
	}
	return errors.Join(err, encoder.Encode(result))
}
