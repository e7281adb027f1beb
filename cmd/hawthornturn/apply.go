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
	// defaultTimeout is the time within which an accepted configuration must be in force.
	defaultTimeout = 15 * time.Second
	statusInterval = 200 * time.Millisecond
	statusTimeout  = 2 * time.Second
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "replace the declared state by a set of declarations; resources not in the set are deleted",
		Flags: clientFlags(
			fileFlag(true),
			&cli.BoolFlag{Name: "dry-run", Usage: "show the changes without making them"},
			&cli.Uint64Flag{Name: "revision", Usage: "fail with a conflict unless the declared state is at revision `N`"},
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
	return &cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "maximum time to wait until the revision is in force"}
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

// waitInForce polls the status until the revision is in force. It keeps polling until the
// timeout if hosts cannot be reached.
func waitInForce(ctx context.Context, c *cli.Command, client *htapi.Client, revision uint64) error {
	timeout := c.Duration("timeout")
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := httime.New().Subscribe("status", statusInterval)
	defer ticker.Stop()
	lastStatus := "no host has responded"
	for {
		status, err := requestStatus(ctx, client, revision)
		var problem *htapi.Problem
		switch {
		case err == nil && status.InForce:
			fmt.Fprintf(c.Root().Writer, "revision %d in force\n", revision)
			return nil
		case errors.As(err, &problem) && problem.Status < http.StatusInternalServerError:
			return err
		case err == nil:
			lastStatus = describeBehind(status)
		case ctx.Err() == nil:
			lastStatus = err.Error()
		}
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return ctx.Err()
			}
			return &notInForceError{fmt.Errorf(notInForceFormat+": %s", revision, timeout, lastStatus)}
		case <-ticker.C:
		}
	}
}

func requestStatus(ctx context.Context, client *htapi.Client, revision uint64) (htconfig.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return client.Status(ctx, revision)
}

// describeBehind lists the hosts that have not applied the revision, with the revision that
// each has applied.
func describeBehind(status htconfig.Status) string {
	var hosts []string
	for _, h := range status.Behind {
		hosts = append(hosts, fmt.Sprintf("%s at %d", h.Host, h.Applied))
	}
	return "behind: " + strings.Join(hosts, ", ")
}
