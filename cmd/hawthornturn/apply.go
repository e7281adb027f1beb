package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/httime"
	"hawthornturn/io/htapi"
)

const (
	// defaultWait is the bound within which an accepted configuration is in force.
	defaultWait   = 15 * time.Second
	statusPeriod  = 200 * time.Millisecond
	statusTimeout = 2 * time.Second
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "make a whole set of declarations the declared state; what it leaves out is deleted",
		Flags: clientFlags(
			fileFlag(true),
			&cli.BoolFlag{Name: "dry-run", Usage: "show the changes without making them"},
			&cli.Uint64Flag{Name: "revision", Usage: "refuse with a conflict unless the declared state is at revision `N`"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the new revision is in force"},
			timeoutFlag(),
		),
		Action: apply,
	}
}

func waitCommand() *cli.Command {
	return &cli.Command{
		Name:  "wait",
		Usage: "wait until a revision is in force on every host",
		Flags: clientFlags(
			&cli.Uint64Flag{Name: "revision", Required: true, Usage: "revision `N`"},
			timeoutFlag(),
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArgs(c); err != nil {
				return err
			}
			client, err := connect(c)
			if err != nil {
				return err
			}
			return waitInForce(ctx, c, client, c.Uint64("revision"))
		},
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: defaultWait, Usage: "longest wait for the revision to be in force"}
}

func apply(ctx context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	set, findings, err := loadDeclarations(c.String("file"))
	if err == nil {
		err = findings.Err()
	}
	if err != nil {
		return err
	}
	expect := htconfig.Precondition{Any: !c.IsSet("revision"), Version: c.Uint64("revision")}
	result, err := client.Apply(ctx, set, expect, c.Bool("dry-run"))
	if err != nil {
		return err
	}
	out := c.Root().Writer
	for _, change := range result.Changes {
		fmt.Fprintf(out, "%s %s/%s\n", change.Action, change.Kind, change.Name)
	}
	switch {
	case len(result.Changes) == 0:
		fmt.Fprintf(out, "no changes at revision %d\n", result.Revision)
	case c.Bool("dry-run"):
		fmt.Fprintf(out, "dry run: %d changes to revision %d not made\n", len(result.Changes), result.Revision)
		return nil
	default:
		fmt.Fprintf(out, "revision %d accepted\n", result.Revision)
	}
	if !c.Bool("wait") {
		return nil
	}
	return waitInForce(ctx, c, client, result.Revision)
}

// waitInForce asks for the status until the revision is in force. Hosts that
// cannot be reached meanwhile are no reason to give up before the timeout.
func waitInForce(ctx context.Context, c *cli.Command, client *htapi.Client, revision uint64) error {
	timeout := c.Duration("timeout")
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tick := httime.New().Subscribe("status", statusPeriod)
	defer tick.Stop()
	last := "no host has answered"
	for {
		status, err := askStatus(ctx, client, revision)
		var problem *htapi.Problem
		switch {
		case err == nil && status.InForce:
			fmt.Fprintf(c.Root().Writer, "revision %d in force\n", revision)
			return nil
		case errors.As(err, &problem) && problem.Status < http.StatusInternalServerError:
			return err
		case err == nil:
			last = describe(status)
		case ctx.Err() == nil:
			last = err.Error()
		}
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return ctx.Err()
			}
			return &notInForce{fmt.Errorf(notInForceFormat+": %s", revision, timeout, last)}
		case <-tick.C:
		}
	}
}

func askStatus(ctx context.Context, client *htapi.Client, revision uint64) (htconfig.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return client.Status(ctx, revision)
}

// describe names the hosts that have not applied the revision.
func describe(status htconfig.Status) string {
	var hosts []string
	for _, h := range status.Behind {
		hosts = append(hosts, fmt.Sprintf("%s at %d", h.Host, h.Applied))
	}
	return "behind: " + strings.Join(hosts, ", ")
}
