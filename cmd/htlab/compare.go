package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"hawthornturn/internal/htmodel"
)

// compareCommand compares dispatch policies by simulation in virtual time.
func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "compare dispatch policies by simulation in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Usage: "sabarmati or caroni", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of tables"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot of the latency tails to `FILE.png`"},
			&cli.BoolFlag{Name: "variants", Usage: "compare variants of the dispatcher policies instead of the default policies"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "run only this `SCENARIO`; can be repeated"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of arrivals, faults and policies", Value: 1},
		},
		Action: runCompare,
	}
}

func runCompare(_ context.Context, c *cli.Command) error {
	w, err := htmodel.FindWorkload(c.String("workload"))
	if err != nil {
		return err
	}
	candidates, scenarios := htmodel.Candidates(), htmodel.Scenarios
	if c.Bool("variants") {
		candidates = htmodel.Variants()
	}
	if names := c.StringSlice("scenario"); len(names) > 0 {
		if scenarios, err = htmodel.FindScenarios(names); err != nil {
			return err
		}
	}
	result := htmodel.Compare(w, candidates, scenarios, htmodel.RunDuration, c.Uint64("seed"))
	if file := c.String("plot"); file != "" {
		if err := result.WritePlot(file); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(result)
	}
	return result.WriteText(os.Stdout)
}
