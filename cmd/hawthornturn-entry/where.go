package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"hawthornturn/core/htselect"
	"hawthornturn/io/htentry"
)

// Exit codes of where. A request that would be sent has exitOK.
const (
	exitOK      = 0
	exitFailure = 1 // the host was not reached or did not explain the request
	exitUsage   = 2
	exitWait    = 3 // the request would wait
	exitRefuse  = 4 // the request would be refused
)

// whereTimeout bounds the time that the host may take to answer.
const whereTimeout = 5 * time.Second

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error // nil if the output says all
}

// Error implements error.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	}
	return exitFailure
}

func whereCommand() *cli.Command {
	return &cli.Command{
		Name:      "where",
		Usage:     "explain where a request would go now, and why, without sending it",
		ArgsUsage: "ADDRESS",
		Description: "ADDRESS is the HOST:PORT of the metrics of a running host. The exit code is 0 if the request would be sent, " +
			"3 if it would wait, 4 if it would be refused, 2 if the command line is wrong, and 1 if the host did not answer.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "`NAME` in the Host header field"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request, with its query if it has one"},
			&cli.StringFlag{Name: "method", Value: http.MethodGet, Usage: "`METHOD` of the request"},
			&cli.StringFlag{Name: "account", Usage: "`NAME` of the client account"},
			&cli.Int64Flag{Name: "deadline", Usage: "`MILLISECONDS` that the caller gives; 0: the timeout of the route"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return &exitError{exitUsage, err} },
		Action:       where,
	}
}

func where(ctx context.Context, c *cli.Command) error {
	request := htentry.WhereRequest{
		Host: c.String("host"), Path: c.String("path"), Method: c.String("method"), Account: c.String("account"), DeadlineMS: c.Int64("deadline"),
	}
	if c.Args().Len() != 1 || request.Host == "" || !strings.HasPrefix(request.Path, "/") || request.DeadlineMS < 0 {
		return &exitError{exitUsage, errors.New("where needs --host, --path that begins with a slash, and the ADDRESS of a host")}
	}
	body, err := fetchWhere(ctx, c.Args().First(), request)
	if err != nil {
		return err
	}
	var answer htentry.Where
	if err := json.Unmarshal(body, &answer); err != nil {
		return fmt.Errorf("decode the explanation: %w", err)
	}
	if c.Bool("json") {
		_, err = c.Root().Writer.Write(body)
	} else {
		err = printWhere(c.Root().Writer, &answer)
	}
	if err != nil {
		return err
	}
	switch answer.Action {
	case htentry.ActionSend:
		return nil
	case htentry.ActionWait:
		return &exitError{code: exitWait}
	}
	return &exitError{code: exitRefuse}
}

// fetchWhere asks a host for its explanation.
func fetchWhere(ctx context.Context, address string, request htentry.WhereRequest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: htentry.WherePath, RawQuery: request.Query().Encode()}
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return nil, &exitError{exitUsage, fmt.Errorf("address %q: %w", address, err)}
	}
	response, err := http.DefaultClient.Do(get)
	if err != nil {
		return nil, fmt.Errorf("ask the host: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read the explanation: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("host %s: %s: %s", address, response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// printWhere prints an explanation as text.
func printWhere(w io.Writer, a *htentry.Where) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(out, "request\t%s %s%s\n", a.Request.Method, a.Request.Host, a.Request.Path)
	_, _ = fmt.Fprintf(out, "host\t%s, %s, configuration %d\n", a.Host, a.Ready, a.Config)
	if r := a.Route; r != nil {
		_, _ = fmt.Fprintf(out, "route\t%s, prefix %s, idempotent %t, priority %d, %d attempts, timeout %d ms, target %d ms, usual work %d ms\n",
			r.Name, r.Prefix, r.Idempotent, r.Priority, r.Attempts, r.TimeoutMS, r.TargetMS, r.UsualMS)
		for _, p := range r.Parts {
			_, _ = fmt.Fprintf(out, "part\t%s, weight %d, next %t\n", p.Service, p.Weight, p.Next)
		}
	}
	if account := a.Account; account != nil {
		limit := "no usage limit"
		if account.LimitPerSecond > 0 {
			limit = fmt.Sprintf("at most %g requests a second and %g at once", account.LimitPerSecond, account.LimitBurst)
		}
		_, _ = fmt.Fprintf(out, "account\t%s, %s\n", account.Name, limit)
	}
	if s := a.Service; s != nil {
		_, _ = fmt.Fprintf(out, "service\t%s, %d calls waiting, pressure %.0f%%\n", s.Name, s.Waiting, 100*s.Pressure)
	}
	_, _ = fmt.Fprintf(out, "result\t%s\n", whereResult(a))
	for i := range a.Upstreams {
		u := &a.Upstreams[i]
		_, _ = fmt.Fprintf(out, "upstream\t%s\t%s\tdomain %s\t%s\n", u.ID, u.Verdict, u.Domain, upstreamDetails(a, u))
	}
	return out.Flush()
}

// whereResult says what would become of the request.
func whereResult(a *htentry.Where) string {
	text := ""
	switch a.Action {
	case htentry.ActionSend:
		text = "sent to " + a.Upstream
	case htentry.ActionWait:
		text = fmt.Sprintf("waits, about %d ms, after %d calls", a.WaitMS, a.Ahead)
		if a.Upstream != "" {
			text += fmt.Sprintf("; the best upstream, %s, is slow or busy", a.Upstream)
		} else {
			text += "; " + string(a.Reason)
		}
	default:
		text = "refused: " + string(a.Reason)
		if a.RetryAfter > 0 {
			text += fmt.Sprintf(", to come back after %d ms", a.RetryAfter)
		}
	}
	if a.Probes {
		text += "; probes come first and may change this"
	}
	return text
}

// upstreamDetails says what is known of an upstream and, of one that lost, why.
func upstreamDetails(a *htentry.Where, u *htentry.WhereUpstream) string {
	known := "no report"
	if u.AgeMS >= 0 {
		known = fmt.Sprintf("report %d ms old", u.AgeMS)
	}
	text := fmt.Sprintf("%s, expected %d ms, work time %.0f%%, load %.0f of %d, faults %.1f", known, u.ExpectedMS, 100*u.WorkTimeFactor, u.Load, u.Slots, u.Faults)
	if u.ColdMS > 0 {
		text += fmt.Sprintf(", cold for %d ms", u.ColdMS)
	}
	if u.Verdict != htselect.VerdictCandidate {
		return text
	}
	for i := range a.Upstreams {
		switch best := &a.Upstreams[i]; {
		case best.Verdict != htselect.VerdictChosen:
		case best.Fresh && !u.Fresh:
			text += "; has no fresh report, and the chosen one has"
		default:
			text += fmt.Sprintf("; score %d ms against %d ms", u.ScoreMS, best.ScoreMS)
		}
	}
	return text
}
