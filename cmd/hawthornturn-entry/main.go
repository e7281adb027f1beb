// Command hawthornturn-entry runs an entry host on the users' platform.
package main

import (
	"context"
	"fmt"
	"log"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"hawthornturn/io/htlog"
	htadapter "hawthornturn/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().Run(ctx, os.Args)
	stop()
	if err != nil && err.Error() != "" {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(exitCode(err))
}

func newCommand() *cli.Command {
	settings := &cli.StringFlag{Name: "settings", Value: htadapter.SettingsPath(), Usage: "settings `FILE` in the platform's format"}
	metricsPort := &cli.Uint16Flag{Name: "metrics-port", Usage: "also serve metrics on this `PORT` of the host's address; 0: only on the port for other hosts"}
	hedgeShare := &cli.FloatFlag{
		Name:      "hedge-share",
		Usage:     "limit on the extra work of second sends of late idempotent calls, as a `SHARE` of the work of each service over all hosts, 0 to 1; 0: bounded by the retry budget alone",
		Validator: checkHedgeShare,
	}
	return &cli.Command{
		Name:  "hawthornturn-entry",
		Usage: "entry host of hawthornturn on the users' platform",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM, then make a planned stop", Flags: []cli.Flag{settings, metricsPort, hedgeShare}, Action: serve},
			{Name: "validate", Usage: "check the settings and print what is wrong", Flags: []cli.Flag{settings, hedgeShare}, Action: validate},
			whereCommand(),
		},
	}
}

// checkHedgeShare returns an error if share is not from 0 to 1.
func checkHedgeShare(share float64) error {
	if !(share >= 0 && share <= 1) { // also refuses NaN
		return fmt.Errorf("%v is not a share from 0 to 1", share)
	}
	return nil
}

func serve(ctx context.Context, c *cli.Command) error {
	output := htlog.New(os.Stdout)
	defer output.Close()
	output.Install(logrus.StandardLogger())
	// net/http logs lines of its own, such as on an unsolicited response.
	httpLog := logrus.WithField("event", "http-library").WriterLevel(logrus.WarnLevel)
	defer func() { _ = httpLog.Close() }()
	log.SetFlags(0)
	log.SetOutput(httpLog)
	// Registered before the settings are read, since a SIGHUP before that would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := c.String("settings")
	settings, err := htadapter.LoadSettings(path)
	if err != nil {
		return err
	}
	output.SetHost(settings.Entry.Self.Name)
	if port := c.Uint16("metrics-port"); port != 0 {
		settings.Entry.MetricsAddress = netip.AddrPortFrom(settings.Entry.Self.Address.Addr(), port).String()
	}
	settings.Entry.Limits.HedgeShare = c.Float("hedge-share")
	go reload(ctx, path, hangups)
	return htadapter.Run(ctx, settings, output)
}

// reload reads and checks the settings again on SIGHUP and logs the result. The addresses and
// limits of the running process do not change.
func reload(ctx context.Context, path string, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		entry := logrus.WithFields(logrus.Fields{"event": "settings-reloaded", "path": path})
		if _, err := htadapter.LoadSettings(path); err != nil {
			entry.WithError(err).Error("settings are invalid; the earlier ones stay in force")
			continue
		}
		entry.Info("settings are valid; they take effect at the next start")
	}
}

func validate(_ context.Context, c *cli.Command) error {
	if _, err := htadapter.LoadSettings(c.String("settings")); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.Root().Writer, "settings are valid\nhedge-share=%g\n", c.Float("hedge-share"))
	return err
}
