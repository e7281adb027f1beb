package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"hawthornturn/core/htexplain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show from the logs of the hosts what happened to a request, why calls of a client account were refused, or which hosts have a configuration in force",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "`ID` of the request"},
			&cli.Int64Flag{Name: "config", Usage: "`VERSION` of the configuration: the number after version= in the config-applied lines of hawthornturn-entry"},
			&cli.StringFlag{Name: "account", Usage: "`NAME` of a client account, with --at"},
			&cli.StringFlag{Name: "at", Usage: "minute of the day as `HH:MM`, in the time zone of the logs"},
		},
		Action: explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	request, version := c.String("request"), c.Int64("config")
	account, minute := c.String("account"), c.String("at")
	questions := 0
	for _, asked := range []bool{request != "", version != 0, account != "" && minute != ""} {
		if asked {
			questions++
		}
	}
	if questions != 1 || (account == "") != (minute == "") || c.Args().Len() == 0 {
		return usagef("explain needs --request ID, --account NAME --at HH:MM or --config VERSION, and log files")
	}
	var sources []htexplain.Source
	for _, name := range c.Args().Slice() {
		sources = append(sources, htexplain.Source{Name: name, Open: func() (io.ReadCloser, error) { return os.Open(name) }})
	}
	if version != 0 {
		hosts, err := htexplain.ConfigStatus(sources, version)
		if err != nil {
			return err
		}
		return printConfigStatus(c.Root().Writer, version, hosts)
	}
	if account != "" {
		refused, others, err := htexplain.AccountMinute(sources, account, minute)
		if err != nil {
			return err
		}
		return printAccountMinute(c.Root().Writer, account, minute, refused, others)
	}
	history, err := htexplain.RequestHistory(sources, request)
	if err != nil {
		return err
	}
	return printHistory(c.Root().Writer, history)
}

func printHistory(w io.Writer, h *htexplain.History) error {
	_, err := fmt.Fprintf(w, "request %s on host %s at %s\n", h.Request, h.Host, h.Start.Format(time.RFC3339Nano))
	for _, part := range []struct {
		title string
		lines []htexplain.Line
	}{{"steps", h.Steps}, {"nearby lines (clocks of hosts may differ)", h.Nearby}} {
		if len(part.lines) > 0 {
			_, e := fmt.Fprintf(w, "%s\n", part.title)
			err = errors.Join(err, e)
		}
		for i := range part.lines {
			l := &part.lines[i]
			_, e := fmt.Fprintf(w, "  %+8.3f s  %s  %s\n", l.Time.Sub(h.Start).Seconds(), l.Host, l)
			err = errors.Join(err, e)
		}
	}
	if h.Omitted > 0 {
		_, e := fmt.Fprintf(w, "  %d more lines, further away in time, are omitted\n", h.Omitted)
		err = errors.Join(err, e)
	}
	_, e := fmt.Fprintf(w, "cause: %s\n", h.Cause)
	return errors.Join(err, e)
}

func printAccountMinute(w io.Writer, account, minute string, refused []htexplain.AccountRefusals, others int) error {
	_, err := fmt.Fprintf(w, "account %s at %s: %d kinds of refusals, %d other calls in the logs\n", account, minute, len(refused), others)
	for _, r := range refused {
		text := fmt.Sprintf("%d calls of class %s refused on %d hosts: %s", r.Calls, r.Class, r.Hosts, r.Reason)
		if r.Service != "" {
			text += " of " + r.Service
		}
		if r.MostUse >= 0 {
			text += fmt.Sprintf("; used up to %d%% of the usual load", r.MostUse)
		}
		if r.LeastShare >= 0 {
			text += fmt.Sprintf(", share down to %d%%, by pictures up to %d ms old", r.LeastShare, r.OldestPicture)
		}
		_, e := fmt.Fprintf(w, "  %s; for example --request %s\n", text, r.Example)
		err = errors.Join(err, e)
	}
	return err
}

func printConfigStatus(w io.Writer, version int64, hosts []htexplain.HostConfigStatus) error {
	var err error
	for _, h := range hosts {
		text := fmt.Sprintf("not in force; newest is %d, last line at %s", h.AppliedVersion, h.LastLine.Format(time.RFC3339Nano))
		switch {
		case !h.AppliedAt.IsZero():
			text = "in force since " + h.AppliedAt.Format(time.RFC3339Nano)
		case h.RefusalError != "":
			text = fmt.Sprintf("refused, %d stays in force: %s", h.AppliedVersion, h.RefusalError)
		case h.StoreLost:
			text += "; the store does not serve this host"
		}
		_, e := fmt.Fprintf(w, "%s  configuration %d %s\n", h.Host, version, text)
		err = errors.Join(err, e)
	}
	return err
}
