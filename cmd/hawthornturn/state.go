package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"hawthornturn/core/htresource"
	"hawthornturn/io/htapi"
)

// errCountReached ends a watch after the number of lines that --count gives.
var errCountReached = errors.New("all requested lines printed")

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print declared resources as declarations",
		ArgsUsage: "KIND [NAME]",
		Flags:     clientFlags(),
		Action:    get,
	}
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "print a line of JSON for each new revision and each change of its status",
		Flags: clientFlags(
			&cli.Uint64Flag{Name: "from", Usage: "omit revisions below `N`"},
			&cli.Uint64Flag{Name: "count", Usage: "exit after `N` lines; 0 means no limit"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := connect(c)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(c.Root().Writer)
			lines := uint64(0)
			err = client.Watch(ctx, c.Uint64("from"), func(e htapi.Event) error {
				if err := encoder.Encode(e); err != nil {
					return err
				}
				lines++
				if lines == c.Uint64("count") {
					return errCountReached
				}
				return nil
			})
			if ctx.Err() != nil || errors.Is(err, errCountReached) {
				return nil // ended by a signal or by --count
			}
			return err
		},
	}
}

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:  "dump",
		Usage: "print the state of one host as JSON",
		Flags: clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := connect(c)
			if err != nil {
				return err
			}
			return client.Dump(ctx, c.Root().Writer)
		},
	}
}

func get(ctx context.Context, c *cli.Command) error {
	kind, name := htresource.Kind(c.Args().Get(0)), c.Args().Get(1)
	if !slices.Contains(htresource.Kinds, kind) || c.Args().Len() > 2 {
		return usagef("get needs KIND [NAME], with KIND one of %v", htresource.Kinds)
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	switch kind {
	case htresource.KindFailureDomain:
		return printResources[htresource.FailureDomain](ctx, client, name, out)
	case htresource.KindPool:
		return printResources[htresource.Pool](ctx, client, name, out)
	case htresource.KindRule:
		return printResources[htresource.Rule](ctx, client, name, out)
	default:
		return printResources[htresource.Service](ctx, client, name, out)
	}
}

// printResources prints one resource, or all of a kind if name is empty, as YAML
// documents that apply reads.
func printResources[T htresource.Resource](ctx context.Context, client *htapi.Client, name string, out io.Writer) error {
	var items []htapi.Item[T]
	if name == "" {
		list, err := htapi.GetList[T](ctx, client)
		if err != nil {
			return err
		}
		items = list.Items
	} else {
		item, err := htapi.Get[T](ctx, client, name)
		if err != nil {
			return err
		}
		items = append(items, item)
	}
	for i, item := range items {
		if i > 0 {
			fmt.Fprintln(out, "---")
		}
		data, err := declarationText(item.Resource, item.Version)
		if err != nil {
			return err
		}
		if _, err := out.Write(data); err != nil {
			return err
		}
	}
	return nil
}

// declarationText returns a resource as a YAML document, with its version as a
// comment. Versions are unknown while the table service is down.
func declarationText(resource htresource.Resource, version uint64) ([]byte, error) {
	var fields yaml.Node
	if err := fields.Encode(resource); err != nil {
		return nil, err
	}
	kind := &yaml.Node{Kind: yaml.ScalarNode, Value: "kind", HeadComment: "version unknown: the table service is down"}
	if version > 0 {
		kind.HeadComment = "version " + strconv.FormatUint(version, 10)
	}
	value := &yaml.Node{Kind: yaml.ScalarNode, Value: string(resource.Kind())}
	fields.Content = append([]*yaml.Node{kind, value}, fields.Content...)
	return yaml.Marshal(&fields)
}
