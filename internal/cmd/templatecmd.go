package cmd

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/operator"
	"github.com/ryeford/ryeford/settings"
)

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
				Action:    operatorAction("ACCOUNT/NAME", (*operator.Client).Template, printTemplate),
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
				Action:    operatorAction("ACCOUNT/NAME", (*operator.Client).History, printTemplates),
			},
			newTemplateRollbackCommand(),
		},
	}
}

func printTemplate(c *cli.Command, t *ryeford.Template) error {
	return json.NewEncoder(c.Root().Writer).Encode(t)
}

func listTemplates(ctx context.Context, c *cli.Command) error {
	return withFirstOperator(c, func(client *operator.Client) error {
		templates, err := client.Templates(ctx)
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

// inForceInterval is the interval at which --wait reads the status of the routers.
const inForceInterval = 100 * time.Millisecond

func newTemplatePublishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a template file",
		ArgsUsage: "FILE",
		Flags: operatorFlags(jsonFlag(), waitFlag(),
			&cli.Int64Flag{Name: "based-on", Value: -1, Usage: "the `VERSION` that the file was made from; if another one is current, nothing is published; below 0 is the current one"},
			&cli.StringFlag{Name: "change", Usage: "an `ID` of the change, under which it is published once, however often it is sent"},
		),
		Action: publishTemplate,
	}
}

func newTemplateRollbackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "publish an earlier version of a template as a new one",
		ArgsUsage: "ACCOUNT/NAME",
		Flags: operatorFlags(jsonFlag(), waitFlag(),
			&cli.Int64Flag{Name: "to", Usage: "the earlier `VERSION`", Required: true},
		),
		Action: rollbackTemplate,
	}
}

func waitFlag() cli.Flag {
	return &cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME` until the version is in force at the routers of --operators and their agents"}
}

func publishTemplate(ctx context.Context, c *cli.Command) error {
	file, err := oneArg(c, "FILE")
	if err != nil {
		return err
	}
	s, err := settings.Load(file, settings.DefaultTemplate())
	if err != nil {
		return err
	}
	t := s.Publishable()
	t.PublishID = cmp.Or(c.String("change"), uuid.NewString())
	return withFirstOperator(c, func(client *operator.Client) error {
		t.Sequence = c.Int64("based-on")
		if t.Sequence < 0 {
			if t.Sequence, err = currentSequence(ctx, client, t); err != nil {
				return err
			}
		}
		return publish(ctx, c, client, t)
	})
}

// publish publishes a template and prints the result. With --wait it waits until the
// template is in force.
func publish(ctx context.Context, c *cli.Command, client *operator.Client, t *ryeford.Template) error {
	published, err := client.Publish(ctx, t)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		if err := json.NewEncoder(c.Root().Writer).Encode(published); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(c.Root().Writer, "%s/%s version %d accepted as revision %d\n",
			published.Account, published.Name, published.Sequence, published.Revision)
	}
	if wait := c.Duration("wait"); wait > 0 {
		return awaitInForce(ctx, c, published.Revision, wait)
	}
	return nil
}

// currentSequence returns the current version of a template, or zero if there is none.
func currentSequence(ctx context.Context, client *operator.Client, t *ryeford.Template) (int64, error) {
	current, err := client.Template(ctx, string(t.Account)+"/"+t.Name)
	var operatorErr *operator.Error
	if errors.As(err, &operatorErr) && operatorErr.Status == http.StatusNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return current.Sequence, nil
}

func rollbackTemplate(ctx context.Context, c *cli.Command) error {
	name, err := oneArg(c, "ACCOUNT/NAME")
	if err != nil {
		return err
	}
	to := c.Int64("to")
	return withFirstOperator(c, func(client *operator.Client) error {
		versions, err := client.History(ctx, name)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(versions, func(t ryeford.Template) bool { return t.Sequence == to })
		if i < 0 {
			return &ryeford.NotFoundError{Kind: "version of " + name, Name: fmt.Sprint(to)}
		}
		t := versions[i]
		t.Sequence = versions[len(versions)-1].Sequence
		t.PublishID = uuid.NewString()
		return publish(ctx, c, client, &t)
	})
}

// An InForceError reports that a revision is not in force everywhere within the wait time.
type InForceError struct {
	Revision int64
	Behind   int
}

func (e *InForceError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but %d processes do not have it in force yet", e.Revision, e.Behind)
}

// awaitInForce waits until a revision is in force at the routers of --operators and their
// agents. It prints the progress to standard error.
func awaitInForce(ctx context.Context, c *cli.Command, revision int64, wait time.Duration) error {
	clients, err := operatorClients(c)
	if err != nil {
		return err
	}
	start := time.Now()
	printed := -1
	for {
		behind, total := countBehind(ctx, clients, revision)
		if behind != printed {
			printed = behind
			fmt.Fprintf(c.Root().ErrWriter, "revision %d in force on %d of %d processes\n", revision, total-behind, total)
		}
		switch {
		case behind == 0:
			return nil
		case time.Since(start) > wait:
			return &InForceError{Revision: revision, Behind: behind}
		}
		if !clock.Sleep(ctx, inForceInterval) {
			return ctx.Err()
		}
	}
}

// countBehind counts the processes at which a revision is not in force yet.
func countBehind(ctx context.Context, clients []*operator.Client, revision int64) (behind, total int) {
	agents := make(map[ryeford.VMID]int64)
	for _, client := range clients {
		total++
		s, err := client.Status(ctx)
		if err != nil || s.Revision < revision {
			behind++
		}
		if err != nil {
			continue // counted as behind
		}
		for _, a := range s.Agents {
			agents[a.VM] = max(agents[a.VM], a.Revision)
		}
	}
	for _, inForce := range agents {
		total++
		if inForce < revision {
			behind++
		}
	}
	return behind, total
}
