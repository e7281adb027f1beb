package main

import (
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"hawthornturn/io/htapi"
)

// Environment variables of the operators' commands.
const (
	envKey     = "HAWTHORNTURN_KEY"
	envServers = "HAWTHORNTURN_SERVERS"
)

// clientFlags returns the flags of every command that calls the operators' API, followed by
// more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name:    "server",
			Usage:   "`IP:PORT` or URL of an operators' listener; repeat the flag for servers to try when one cannot be reached",
			Sources: cli.EnvVars(envServers),
		},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator's key; the default is the environment variable " + envKey},
	}, more...)
}

// connect returns a client with the servers and the key that the flags or the environment
// give.
func connect(c *cli.Command) (*htapi.Client, error) {
	servers := c.StringSlice("server")
	if len(servers) == 0 {
		return nil, usagef("%s needs --server or the environment variable %s", c.Name, envServers)
	}
	key := os.Getenv(envKey)
	if file := c.String("key-file"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, usagef("%s needs --key-file or the environment variable %s", c.Name, envKey)
	}
	return htapi.NewClient(servers, key), nil
}
