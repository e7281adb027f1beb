package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"hawthornturn/core/htfinding"
	"hawthornturn/core/htresource"
	"hawthornturn/io/htsettings"
)

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:  "validate",
		Usage: "check declarations or settings without a server",
		Flags: []cli.Flag{
			fileFlag(false),
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of an entry host"},
		},
		Action: validate,
	}
}

func fileFlag(required bool) cli.Flag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: required, Usage: "`DIR|FILE` with declarations"}
}

func validate(_ context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return err
	}
	file, settings := c.String("file"), c.String("settings")
	if file == "" && settings == "" {
		return usagef("validate needs --file or --settings")
	}
	var findings htfinding.List
	if settings != "" {
		data, err := os.ReadFile(settings)
		if err != nil {
			return err
		}
		_, findings = htsettings.Decode(settings, data)
	}
	if file != "" {
		set, found, err := loadDeclarations(file)
		if err != nil {
			return err
		}
		findings = append(findings, found...)
		if len(findings) == 0 {
			fmt.Fprintf(c.Root().Writer, "%s: %d resources are valid\n", file, len(set.All()))
		}
	}
	return findings.Err()
}

// loadDeclarations reads the declarations in a file or in all files of a directory. Each
// finding names its file by a path that starts with path, so that the operator can open it.
func loadDeclarations(path string) (*htresource.Set, htfinding.List, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if !info.IsDir() {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, err
		}
		set, findings := htresource.DecodeFile(path, data)
		return &set, findings, nil
	}
	set, findings := htresource.LoadDir(os.DirFS(path))
	for i := range findings {
		findings[i].File = filepath.Join(path, findings[i].File)
	}
	return &set, findings, nil
}

// noArgs returns a usage error if there are arguments, which most often are values without
// their flag.
func noArgs(c *cli.Command) error {
	if c.Args().Present() {
		return usagef("%s takes no argument %q", c.Name, c.Args().First())
	}
	return nil
}
