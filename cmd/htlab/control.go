package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hawthornturn/core/htcall"
)

// controlTimeout bounds one request, including the reading of the response.
const controlTimeout = 10 * time.Second

func controlCommand() *cli.Command {
	return &cli.Command{
		Name:      "control",
		Usage:     "send one request to a simulated platform or upstream or to an entry host and print the response",
		ArgsUsage: "METHOD URL [JSON]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "value of the Host header field"},
		},
		Action: runControl,
	}
}

func runControl(ctx context.Context, c *cli.Command) error {
	args := c.Args()
	if args.Len() < 2 || args.Len() > 3 {
		return fmt.Errorf("control: want METHOD URL [JSON]")
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, args.Get(0), args.Get(1), strings.NewReader(args.Get(2)))
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	request.Host = c.String("host")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer response.Body.Close()
	for _, name := range []string{htcall.HeaderOutcome, htcall.HeaderReason} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(c.Root().Writer, "%s: %s\n", name, value)
		}
	}
	if _, err := io.Copy(c.Root().Writer, response.Body); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if response.StatusCode > 299 {
		return fmt.Errorf("control: %s", response.Status)
	}
	return nil
}
