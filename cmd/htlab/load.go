package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hawthornturn/internal/htlab"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send calls to entry hosts on a fixed schedule and check the responses",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "hosts", Required: true, Usage: "comma-separated `ADDRESSES` of the entry hosts"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "value of the Host header field"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "calls per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time during which calls are sent"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrival schedule"},
			&cli.IntFlag{Name: "lookups", Value: 4, Usage: "weight of lookups"},
			&cli.IntFlag{Name: "bookings", Value: 1, Usage: "weight of bookings"},
			&cli.FloatFlag{Name: "twice", Usage: "share of bookings sent twice through different hosts"},
			&cli.DurationFlag{Name: "twice-gap", Value: htlab.DefaultMaxDuplicateGap, Usage: "longest time between the two copies of a booking"},
			&cli.DurationFlag{Name: "timeout", Value: htlab.DefaultTimeout, Usage: "time from sending a call to its deadline"},
			&cli.DurationFlag{Name: "grace", Value: htlab.DefaultGrace, Usage: "time for which a caller still waits after the deadline"},
			&cli.DurationFlag{Name: "settle", Usage: "time between the end of the last call and the reading of the upstreams' records; 0 means the timeout"},
			&cli.IntFlag{Name: "callers", Value: htlab.DefaultCallers, Usage: "number of different callers"},
			&cli.IntFlag{Name: "body-bytes", Value: 256, Usage: "size of a booking's body"},
			&cli.DurationFlag{Name: "work", Usage: "mean work time requested from the upstream; 0 means the upstream's own"},
			&cli.DurationFlag{Name: "stream", Usage: "time over which the upstream streams its response"},
			&cli.DurationFlag{Name: "ready-every", Usage: "period at which /ready is requested; 0 means that all hosts always get calls"},
			&cli.StringFlag{Name: "upstreams", Usage: "comma-separated `ADDRESSES` of upstreams whose records are checked"},
			&cli.FloatFlag{Name: "probe-budget", Usage: "probes per second that each upstream may get; 0 means that the budget is not checked"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of the table"},
			&cli.IntFlag{Name: "progress", Usage: "print a line after every `N` arrivals; 0 means never"},
			&cli.StringFlag{Name: "require-zero", Usage: "comma-separated `COUNTERS` that must be 0, for example cut,late"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	load, err := htlab.NewLoad(loadSettings(c))
	if err != nil {
		return err
	}
	mustBeZero := splitList(c.String("require-zero"))
	if err := htlab.ValidateCounters(mustBeZero); err != nil {
		return err
	}
	out := c.Root().Writer
	if every := c.Int("progress"); every > 0 {
		load.Progress = func(arrivals int) {
			if arrivals%every == 0 {
				fmt.Fprintf(out, "progress arrivals=%d\n", arrivals)
			}
		}
	}
	result, err := load.Run(ctx)
	if err != nil {
		return err
	}
	printResult := result.PrintTable
	if c.Bool("json") {
		printResult = result.PrintJSON
	}
	if err := printResult(out); err != nil {
		return err
	}
	return resultError(result, mustBeZero)
}

// resultError returns an error if the result has violations or if a counter in mustBeZero
// is not 0.
func resultError(r htlab.Result, mustBeZero []string) error {
	failed := append(r.Violations(), r.Nonzero(mustBeZero)...)
	if len(failed) == 0 {
		return nil
	}
	return fmt.Errorf("load: %s", strings.Join(failed, "; "))
}

func loadSettings(c *cli.Command) htlab.LoadSettings {
	return htlab.LoadSettings{
		Hosts:           splitList(c.String("hosts")),
		Service:         c.String("service"),
		Rate:            c.Float("rate"),
		Duration:        c.Duration("duration"),
		Seed:            c.Uint64("seed"),
		Lookups:         c.Int("lookups"),
		Bookings:        c.Int("bookings"),
		DuplicateShare:  c.Float("twice"),
		MaxDuplicateGap: c.Duration("twice-gap"),
		Timeout:         c.Duration("timeout"),
		Grace:           c.Duration("grace"),
		Settle:          c.Duration("settle"),
		Callers:         c.Int("callers"),
		BodyBytes:       c.Int("body-bytes"),
		Work:            c.Duration("work"),
		Stream:          c.Duration("stream"),
		ReadyEvery:      c.Duration("ready-every"),
		Upstreams:       splitList(c.String("upstreams")),

		ProbesPerSec: c.Float("probe-budget"),
	}
}

// splitList splits a comma-separated list. It returns nil for an empty text.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
