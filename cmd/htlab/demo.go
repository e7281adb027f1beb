package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hawthornturn/internal/htlab"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run both example workloads while an upstream becomes cold and a failure domain is taken out and brought back",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 6, Usage: "number of entry hosts per workload"},
			&cli.DurationFlag{Name: "phase", Value: 4 * time.Second, Usage: "length of each of the three phases"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the calls and of the work times"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	logrus.SetLevel(logrus.ErrorLevel)
	out := c.Root().Writer
	var errs []error
	for _, w := range htlab.Workloads {
		e := htlab.Experiment{
			Workload: w, Hosts: c.Int("hosts"), Load: 0.3, PhaseDuration: c.Duration("phase"), Seed: c.Uint64("seed"), Table: htlab.TableUp,
			Log: func(format string, args ...any) { fmt.Fprintf(out, w.Name+": "+format+"\n", args...) },
		}
		report, err := e.Run(ctx)
		errs = append(errs, err, report.PrintTable(out), reportError(report))
	}
	return errors.Join(errs...)
}

// reportError returns an error that lists the failures of the report, or nil.
func reportError(report htlab.Report) error {
	if found := report.Failures(); len(found) > 0 {
		return fmt.Errorf("%s: %s", report.Workload, strings.Join(found, "; "))
	}
	return nil
}

func domainsCommand() *cli.Command {
	return &cli.Command{
		Name:  "domains",
		Usage: "measure the outcomes and latencies of calls while a failure domain is taken out and brought back",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Value: "sabarmati", Usage: "`NAME` of the workload"},
			&cli.IntFlag{Name: "hosts", Usage: "number of entry hosts; 0 means that of the workload"},
			&cli.FloatFlag{Name: "load", Value: 0.5, Usage: "rate of the calls as a share of the upstreams' capacity"},
			&cli.DurationFlag{Name: "phase", Value: 10 * time.Second, Usage: "length of each of the three phases"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the calls and of the work times"},
			&cli.StringFlag{Name: "table", Value: string(htlab.TableUp), Usage: "`STATE` of the table service: up, slow or down"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of the table"},
		},
		Action: runDomains,
	}
}

func runDomains(ctx context.Context, c *cli.Command) error {
	logrus.SetLevel(logrus.ErrorLevel)
	workload, err := htlab.FindWorkload(c.String("workload"))
	if err != nil {
		return err
	}
	e := htlab.Experiment{
		Workload: workload, Hosts: c.Int("hosts"), Load: c.Float("load"), PhaseDuration: c.Duration("phase"), Seed: c.Uint64("seed"),
		Table: htlab.TableState(c.String("table")),
		Log:   func(format string, args ...any) { logrus.Infof(format, args...) },
	}
	report, err := e.Run(ctx)
	printReport := report.PrintTable
	if c.Bool("json") {
		printReport = report.PrintJSON
	}
	return errors.Join(err, printReport(c.Root().Writer), reportError(report))
}
