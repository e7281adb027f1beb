package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"hawthornturn/internal/htlab"
)

func certsCommand() *cli.Command {
	return &cli.Command{
		Name:      "certs",
		Usage:     "write ca.pem and, for each entry host, NAME.pem and NAME-key.pem for mutual TLS on loopback",
		ArgsUsage: "NAME...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Value: ".", Usage: "`DIRECTORY` to write the files to"},
		},
		Action: runCerts,
	}
}

func runCerts(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("certs: want NAME")
	}
	dir := c.String("dir")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	authority, err := htlab.NewAuthority(dir)
	if err != nil {
		return err
	}
	for _, name := range c.Args().Slice() {
		if _, err := authority.Issue(name); err != nil {
			return err
		}
	}
	return nil
}
