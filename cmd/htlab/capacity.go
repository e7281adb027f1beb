package main

import (
	"context"
	"fmt"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hawthornturn/internal/htcapacity"
)

// capacityCommand measures the data for docs/CAPACITY.md and renders that page.
func capacityCommand() *cli.Command {
	file := &cli.StringFlag{Name: "file", Value: "docs/capacity.yaml", Usage: "`FILE` with the measured series"}
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the resource use of each role and extrapolate it to the design size (docs/design.md, section 1.6)",
		Commands: []*cli.Command{
			{
				Name:      "measure",
				Usage:     "measure the named series, or all of them, and store them in the file",
				ArgsUsage: "[NAME...]",
				Flags:     []cli.Flag{file},
				Action:    runMeasure,
			},
			{
				Name:   "page",
				Usage:  "render docs/CAPACITY.md from the file",
				Flags:  []cli.Flag{file, &cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "`FILE` to write"}},
				Action: runPage,
			},
			{
				Name:   "plot",
				Usage:  "draw charts of the measured series in the file",
				Flags:  []cli.Flag{file, &cli.StringFlag{Name: "dir", Value: "docs", Usage: "`DIR` for the PNG files"}},
				Action: runPlot,
			},
		},
	}
}

func runMeasure(ctx context.Context, c *cli.Command) error {
	logrus.SetLevel(logrus.ErrorLevel)
	names := c.Args().Slice()
	if len(names) == 0 {
		names = htcapacity.MeasurementNames()
	}
	path := c.String("file")
	file, err := htcapacity.Read(path)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	log := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	for _, name := range names {
		series, err := htcapacity.Measure(ctx, name, log)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		file.Put(series)
		if err := file.Write(path); err != nil {
			return err
		}
		log("%s: %s %v, load average %s", name, series.X, series.Units, series.Machine.Load)
		for _, p := range series.Points {
			log("  %g: %v", p.Size, p.Values)
		}
	}
	return nil
}

func runPage(_ context.Context, c *cli.Command) error {
	file, err := htcapacity.Read(c.String("file"))
	if err != nil {
		return err
	}
	page, err := htcapacity.Page(file)
	if err != nil {
		return err
	}
	return os.WriteFile(c.String("page"), []byte(page), 0o644)
}

func runPlot(_ context.Context, c *cli.Command) error {
	file, err := htcapacity.Read(c.String("file"))
	if err != nil {
		return err
	}
	return htcapacity.WritePlots(file, c.String("dir"))
}
