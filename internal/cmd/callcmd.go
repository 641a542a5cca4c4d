package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/caller"
)

func newCallCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "send one chat turn, or one call of a service, and print the answer",
		ArgsUsage: "MESSAGE... (the user's and the assistant's alternately, the last one the user's)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "callers", Usage: "the router's address for callers, `IP:PORT`", Value: "127.0.0.1:8080", Sources: cli.EnvVars("RYEFORD_CALLERS")},
			&cli.StringFlag{Name: "key", Usage: "a `KEY` of the client account", Sources: cli.EnvVars("RYEFORD_KEY")},
			&cli.StringFlag{Name: "chat", Usage: "the `ID` of the chat; its turns go to the same engine if possible"},
			&cli.StringFlag{Name: "model", Usage: "the `MODEL`, or the name of a template of the account"},
			&cli.StringFlag{Name: "service", Usage: "call a plain service at `NAME/PATH`, with MESSAGE as the body"},
			&cli.StringFlag{Name: "resume", Usage: "read the rest of a streamed answer, after the event `ID`"},
			&cli.StringFlag{Name: "idempotency-key", Usage: "a `KEY` under which the request runs once, however often it is sent"},
			&cli.BoolFlag{Name: "not-repeatable", Usage: "the request must not run more than once, so a lost attempt is not repeated"},
			&cli.IntFlag{Name: "max-tokens", Usage: "the greatest length of the answer, in `TOKENS`"},
			&cli.DurationFlag{Name: "deadline", Usage: "the longest `TIME` that the request may take, such as 2s; 0 leaves it to the router"},
			&cli.StringFlag{Name: "priority", Usage: "the request's `PRIORITY`, 0 (lowest) to 9; never above the template's"},
			&cli.BoolFlag{Name: "events", Usage: "print the ID of each event in place of the text"},
			jsonFlag(),
		},
		Action: call,
	}
}

func call(ctx context.Context, c *cli.Command) error {
	address, err := addressFlag(c, "callers")
	if err != nil {
		return err
	}
	client := caller.New()
	switch {
	case c.Bool("events"):
		client.OnEvent = func(id string) { fmt.Fprintln(c.Root().Writer, id) }
	case !c.Bool("json"):
		client.OnText = func(text string) { fmt.Fprint(c.Root().Writer, text) }
	}
	answer, err := send(ctx, c, client, address)
	if err != nil {
		return err
	}
	return printAnswer(c, answer)
}

// send sends the request that the flags describe.
func send(ctx context.Context, c *cli.Command, client *caller.Client, address netip.AddrPort) (*caller.Answer, error) {
	t := &caller.Turn{
		Key:            c.String("key"),
		Chat:           ryeford.ChatID(c.String("chat")),
		Model:          c.String("model"),
		MaxTokens:      c.Int("max-tokens"),
		NotRepeatable:  c.Bool("not-repeatable"),
		IdempotencyKey: c.String("idempotency-key"),
		Deadline:       c.Duration("deadline"),
		Priority:       c.String("priority"),
	}
	for i, text := range c.Args().Slice() {
		role := "user"
		if i%2 == 1 {
			role = "assistant"
		}
		t.Messages = append(t.Messages, ryeford.Message{Role: role, Content: text})
	}
	switch {
	case c.String("resume") != "":
		return client.Resume(ctx, address, t.Key, c.String("resume"))
	case c.String("service") != "":
		return client.CallService(ctx, address, c.String("service"), t, []byte(c.Args().First()))
	}
	return client.Complete(ctx, address, t)
}

// printAnswer prints an answer. It returns an error if the answer is a failure or is
// incomplete.
func printAnswer(c *cli.Command, answer *caller.Answer) error {
	if c.Bool("json") {
		if err := json.NewEncoder(c.Root().Writer).Encode(answer); err != nil {
			return err
		}
	} else {
		if c.String("service") != "" && answer.Failure == nil {
			fmt.Fprint(c.Root().Writer, answer.Text)
		}
		fmt.Fprintln(c.Root().Writer)
	}
	switch {
	case answer.Failure != nil:
		return answer.Failure
	case !answer.Complete:
		return &caller.Failure{Code: "incomplete", Message: "the answer ended before it was complete", Ran: caller.RunUnknown}
	}
	return nil
}
