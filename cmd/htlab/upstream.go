package main

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hawthornturn/internal/htstand"
)

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "run simulated upstreams until SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` of the first upstream; the others get the following ports"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "number of upstreams"},
			&cli.StringFlag{Name: "name", Value: "upstream", Usage: "name prefix of the upstreams"},
			&cli.IntFlag{Name: "slots", Value: htstand.DefaultSlots, Usage: "requests that an upstream processes concurrently"},
			&cli.DurationFlag{Name: "work", Value: htstand.DefaultWork, Usage: "mean work time"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the work times"},
			&cli.IntFlag{Name: "hard-limit", Usage: "in-flight requests above which an upstream rejects requests; 0 means no limit"},
			&cli.IntFlag{Name: "cold-limit", Value: htstand.DefaultColdLimit, Usage: "concurrent requests that a cold upstream can process"},
			&cli.DurationFlag{Name: "cold-for", Usage: "time for which an upstream is cold after the start and after a crash"},
			&cli.DurationFlag{Name: "probe-cost", Usage: "time that a health or load request takes"},
			&cli.DurationFlag{Name: "conn-cost", Usage: "delay of the first request on a connection"},
			&cli.DurationFlag{Name: "load-lag", Usage: "age of the data that the health and load endpoints return"},
			&cli.StringFlag{Name: "crash-mark", Usage: "requests whose path contains `MARK` crash the upstream"},
			&cli.DurationFlag{Name: "crash-for", Value: htstand.DefaultCrashDuration, Usage: "time for which connections are refused after a crash"},
			&cli.StringFlag{Name: "journal", Usage: "`FILE` prefix of the journals that preserve the runs across a restart"},
		},
		Action: runUpstreams,
	}
}

func runUpstreams(ctx context.Context, c *cli.Command) error {
	var addresses []string
	for i := range c.Int("count") {
		u, err := startUpstream(c, i)
		if err != nil {
			return err
		}
		defer u.Close()
		addresses = append(addresses, u.Address())
	}
	fmt.Fprintf(c.Root().Writer, "ready address=%s\n", strings.Join(addresses, ","))
	<-ctx.Done()
	return nil
}

func startUpstream(c *cli.Command, index int) (*htstand.Upstream, error) {
	address, err := offsetPort(c.String("listen"), index)
	if err != nil {
		return nil, err
	}
	s := htstand.UpstreamSettings{
		Name:               fmt.Sprintf("%s-%d", c.String("name"), index),
		Slots:              c.Int("slots"),
		Work:               c.Duration("work"),
		Seed:               c.Uint64("seed") + uint64(index),
		HardLimit:          c.Int("hard-limit"),
		ColdLimit:          c.Int("cold-limit"),
		ColdDuration:       c.Duration("cold-for"),
		ProbeCost:          c.Duration("probe-cost"),
		ConnCost:           c.Duration("conn-cost"),
		LoadLag:            c.Duration("load-lag"),
		CrashPathSubstring: c.String("crash-mark"),
		CrashDuration:      c.Duration("crash-for"),
	}
	if prefix := c.String("journal"); prefix != "" {
		s.Journal = fmt.Sprintf("%s-%d", prefix, index)
	}
	u := htstand.NewUpstream(s)
	return u, startRetrying(u, address)
}

// startRetrying starts u and retries 20 times, every 50 ms, because a process that was
// killed may not have released the port yet.
func startRetrying(u *htstand.Upstream, address string) error {
	const (
		attempts = 20
		pause    = 50 * time.Millisecond
	)
	var err error
	for range attempts {
		if err = u.Start(address); err == nil {
			return nil
		}
		time.Sleep(pause)
	}
	return err
}

// offsetPort returns address with index added to its port. Port 0 stays 0.
func offsetPort(address string, index int) (string, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", fmt.Errorf("listen address: %w", err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return "", fmt.Errorf("listen address: port %q is not a number", port)
	}
	if n > 0 {
		n += index
	}
	return net.JoinHostPort(host, strconv.Itoa(n)), nil
}
