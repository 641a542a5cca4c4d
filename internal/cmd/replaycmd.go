package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/replay"
	"github.com/ryeford/ryeford/standin"
	"github.com/ryeford/ryeford/trace"
)

func newReplayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "play a trace against a running fleet and check its stated outcomes",
		ArgsUsage: "FILE",
		Flags: operatorFlags(
			&cli.StringSliceFlag{Name: "against", Usage: "a router's address for callers, `IP:PORT`; repeat it for more routers", Required: true},
			&cli.StringSliceFlag{Name: "account", Usage: "the key of a client account, `ACCOUNT=KEY`; PREFIX alone is for all others, whose keys are PREFIX and their name"},
			&cli.StringSliceFlag{Name: "target", Usage: "the address of a stand-in whose faults the trace sets, `NAME=IP:PORT`"},
			&cli.StringSliceFlag{Name: "engines", Usage: "an engine stand-in whose runs are compared with the answers, `IP:PORT`; repeat it for more"},
			&cli.StringSliceFlag{Name: "expect", Usage: "an outcome to check beside the trace's own, `METRIC<=N` or METRIC>=N"},
			&cli.FloatFlag{Name: "speed", Value: 1, Usage: "how many seconds of the trace are played in one second"},
			&cli.IntFlag{Name: "retries", Value: 0, Usage: "how often a turn that failed, and may be repeated, is sent again"},
			&cli.DurationFlag{Name: "deadline", Usage: "the longest `TIME` that each turn may take; 0 leaves it to the router"},
			&cli.BoolFlag{Name: "quiet", Usage: "print no progress"},
		),
		Action: replayTrace,
	}
}

func replayTrace(ctx context.Context, c *cli.Command) error {
	name, err := oneArg(c, "FILE")
	if err != nil {
		return err
	}
	entries, err := readTrace(name)
	if err != nil {
		return err
	}
	for _, text := range c.StringSlice("expect") {
		outcome, err := parseOutcome(text)
		if err != nil {
			return err
		}
		entries = append(entries, *outcome)
	}
	options, err := replayOptions(c)
	if err != nil {
		return err
	}
	report, err := replay.Run(ctx, entries, options)
	if err != nil {
		return err
	}
	if err := report.Write(c.Root().Writer); err != nil {
		return err
	}
	if missed := report.Missed(entries); len(missed) > 0 {
		return &MissedError{Missed: missed}
	}
	return nil
}

// parseOutcome parses METRIC<=N or METRIC>=N.
func parseOutcome(text string) (*trace.Entry, error) {
	metric, bound, isMax := strings.Cut(text, "<=")
	if !isMax {
		metric, bound, _ = strings.Cut(text, ">=")
	}
	value, err := strconv.ParseFloat(bound, 64)
	if err != nil || metric == "" {
		return nil, &UsageError{Problem: "--expect: want METRIC<=N or METRIC>=N, not " + text}
	}
	outcome := &trace.Entry{Kind: trace.KindOutcome, Metric: metric}
	if isMax {
		outcome.Max = &value
	} else {
		outcome.Min = &value
	}
	return outcome, nil
}

func readTrace(name string) ([]trace.Entry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, &ryeford.InputError{Field: name, Problem: err.Error()}
	}
	defer func() { _ = file.Close() }()
	entries, err := trace.Read(file)
	if err != nil {
		return nil, &ryeford.InputError{Field: name, Problem: err.Error()}
	}
	return entries, nil
}

func replayOptions(c *cli.Command) (*replay.Options, error) {
	o := &replay.Options{
		Speed:    c.Float("speed"),
		Retries:  c.Int("retries"),
		Deadline: c.Duration("deadline"),
	}
	if o.Speed <= 0 {
		return nil, &UsageError{Problem: "--speed: must be above 0"}
	}
	var err error
	if o.Routers, err = addressesFlag(c, "against"); err != nil {
		return nil, err
	}
	if o.Operators, err = operatorClients(c); err != nil {
		return nil, err
	}
	if !c.Bool("quiet") {
		start := time.Now()
		o.Progress = func(done, total int) {
			fmt.Fprintf(c.Root().ErrWriter, "%s: %d of %d turns\n", time.Since(start).Round(time.Second), done, total)
		}
	}
	o.Key = accountKeys(c.StringSlice("account"))
	o.SetFault = faultSetter(c.StringSlice("target"))
	if engines := c.StringSlice("engines"); len(engines) > 0 {
		o.Runs = func(ctx context.Context) ([][]standin.RunRecord, error) { return engineRuns(ctx, engines) }
	}
	return o, nil
}

// faultSetter returns a function that sets a fault of a stand-in by its name. The stand-ins
// are given as NAME=IP:PORT.
func faultSetter(given []string) func(ctx context.Context, target string, fault []byte) error {
	targets := make(map[string]string)
	for _, text := range given {
		name, address, _ := strings.Cut(text, "=")
		targets[name] = address
	}
	return func(ctx context.Context, target string, fault []byte) error {
		_, err := callStandin(ctx, http.MethodPost, targets[target], standin.PathFault, fault)
		return err
	}
}

// engineRuns returns the runs of each engine stand-in.
func engineRuns(ctx context.Context, engines []string) ([][]standin.RunRecord, error) {
	var all [][]standin.RunRecord
	for _, address := range engines {
		content, err := callStandin(ctx, http.MethodGet, address, standin.PathRuns, nil)
		if err != nil {
			return nil, err
		}
		var counts standin.EngineCounts
		if err := json.Unmarshal(content, &counts); err != nil {
			return nil, &ryeford.InputError{Field: address, Problem: err.Error()}
		}
		all = append(all, counts.Runs)
	}
	return all, nil
}

// accountKeys returns a function that returns the key of an account. Keys are given as
// ACCOUNT=KEY; the keys of other accounts are PREFIX followed by the account.
func accountKeys(given []string) func(ryeford.AccountID) string {
	keys := make(map[ryeford.AccountID]string)
	prefix := ""
	for _, text := range given {
		account, key, ok := strings.Cut(text, "=")
		if !ok {
			prefix = text
			continue
		}
		keys[ryeford.AccountID(account)] = key
	}
	return func(account ryeford.AccountID) string {
		if key, ok := keys[account]; ok {
			return key
		}
		return prefix + string(account)
	}
}
