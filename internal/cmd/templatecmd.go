package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/operator"
)

// newTemplateCommand returns the commands on templates. Those that publish are in
// templatepublish.go.
func newTemplateCommand() *cli.Command {
	return &cli.Command{
		Name:  "template",
		Usage: "publish and read the templates of client accounts",
		Commands: []*cli.Command{
			newTemplatePublishCommand(),
			{
				Name:      "get",
				Usage:     "print a template as JSON",
				ArgsUsage: "ACCOUNT/NAME",
				Flags:     operatorFlags(),
				Action:    getTemplate,
			},
			{
				Name:   "list",
				Usage:  "list all templates",
				Flags:  operatorFlags(jsonFlag()),
				Action: listTemplates,
			},
			{
				Name:      "history",
				Usage:     "list the versions of a template, the oldest first",
				ArgsUsage: "ACCOUNT/NAME",
				Flags:     operatorFlags(jsonFlag()),
				Action:    templateHistory,
			},
			newTemplateRollbackCommand(),
		},
	}
}

func getTemplate(ctx context.Context, c *cli.Command) error {
	name, err := oneArg(c, "ACCOUNT/NAME")
	if err != nil {
		return err
	}
	return firstOperator(c, func(client *operator.Client) error {
		t, err := client.Template(ctx, name)
		if err != nil {
			return err
		}
		return json.NewEncoder(c.Root().Writer).Encode(t)
	})
}

func listTemplates(ctx context.Context, c *cli.Command) error {
	return firstOperator(c, func(client *operator.Client) error {
		templates, err := client.Templates(ctx)
		if err != nil {
			return err
		}
		return printTemplates(c, templates)
	})
}

func templateHistory(ctx context.Context, c *cli.Command) error {
	name, err := oneArg(c, "ACCOUNT/NAME")
	if err != nil {
		return err
	}
	return firstOperator(c, func(client *operator.Client) error {
		templates, err := client.History(ctx, name)
		if err != nil {
			return err
		}
		return printTemplates(c, templates)
	})
}

func printTemplates(c *cli.Command, templates []ryeford.Template) error {
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(templates)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TEMPLATE\tVERSION\tREVISION\tPOOL\tPRIORITY\tSHARE\tBEGIN")
	for i := range templates {
		t := &templates[i]
		begin := "-"
		if !t.Begin.IsZero() {
			begin = t.Begin.Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s/%s\t%d\t%d\t%s\t%d\t%g\t%s\n", t.Account, t.Name, t.Sequence, t.Revision, t.Pool(), t.Priority, t.Share, begin)
	}
	return w.Flush()
}
