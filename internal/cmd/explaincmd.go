package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/urfave/cli/v3"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/router"
)

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the decisions on a request, from routers and their agents or from gateways' logs",
		ArgsUsage: "REQUEST",
		Flags: operatorFlags(jsonFlag(), &cli.StringSliceFlag{
			Name:  "log",
			Usage: "read a gateway's log from `FILE` (- is standard input) and call no router; repeat it for more logs",
		}),
		Action: explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	id, err := oneArg(c, "REQUEST")
	if err != nil {
		return err
	}
	if files := c.StringSlice("log"); len(files) > 0 {
		return explainLogs(c.Root().Writer, ryeford.RequestID(id), files)
	}
	clients, err := operatorClients(c)
	if err != nil {
		return err
	}
	all := &router.Explanation{Request: ryeford.RequestID(id)}
	var failed error
	for _, client := range clients {
		e, err := client.Explain(ctx, all.Request)
		if err != nil {
			failed = err // others may know the request
			continue
		}
		all.Decisions = append(all.Decisions, e.Decisions...)
	}
	slices.Sort(all.Decisions)
	all.Decisions = slices.Compact(all.Decisions)
	if len(all.Decisions) == 0 {
		if failed != nil {
			return failed
		}
		return &ryeford.NotFoundError{Kind: "request", Name: id}
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(all)
	}
	_, err = fmt.Fprintln(c.Root().Writer, strings.Join(all.Decisions, "\n"))
	return err
}

// contextBefore is how long before a request's first line its router's changes of
// state are printed too: about twice as long as a configuration may be relied on at
// the sites' bounds.
const contextBefore = 10 * time.Second

// maxLogLine is the longest line of a log that is read, in bytes.
const maxLogLine = 1 << 20

// stateChanges are the decisions and messages by which a router's state changes.
var stateChanges = []string{
	"configuration", "configuration_from_peer", "configuration_news", "endpoint_report", "endpoint_rested", "endpoints", "evacuation", "readiness", "store_restored", "suspended", "dependency lost", "dependency regained",
	"started", "stopping", "stopped", "reload", "log lines dropped",
}

type logLine struct {
	at      time.Time
	vm      string
	request ryeford.RequestID
	what    string // its decision, or its message
	text    string
}

// explainLogs prints a request's own lines from logs, and the changes of state of
// the routers that had it, shortly before and meanwhile, in the order of their times.
func explainLogs(out io.Writer, request ryeford.RequestID, files []string) error {
	var lines []logLine
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	found := linesOn(request, lines)
	if len(found) == 0 {
		return &ryeford.NotFoundError{Kind: "request", Name: string(request)}
	}
	_, err := fmt.Fprintln(out, strings.Join(found, "\n"))
	return err
}

func linesOn(request ryeford.RequestID, lines []logLine) []string {
	first, last := make(map[string]time.Time), make(map[string]time.Time)
	for _, line := range lines {
		if line.request != request {
			continue
		}
		if _, ok := first[line.vm]; !ok {
			first[line.vm] = line.at
		}
		last[line.vm] = line.at
	}
	var found []string
	for _, line := range lines {
		from, involved := first[line.vm]
		within := involved && !line.at.Before(from.Add(-contextBefore)) && !line.at.After(last[line.vm])
		if line.request == request || (within && slices.Contains(stateChanges, line.what)) {
			found = append(found, line.text)
		}
	}
	return found
}

// readLog reads a log; - is standard input.
func readLog(name string) ([]logLine, error) {
	input := io.Reader(os.Stdin)
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, ok := parseLogLine(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parseLogLine reads a line and reports whether it is one of ours. What a collector
// of logs has put before ts= is skipped.
func parseLogLine(text string) (logLine, bool) {
	start := strings.Index(text, "ts=")
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{text: text}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return logLine{}, false
	}
	for decoder.ScanKeyval() {
		value := string(decoder.Value())
		switch string(decoder.Key()) {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return logLine{}, false
			}
			line.at = at
		case "vm":
			line.vm = value
		case "request":
			line.request = ryeford.RequestID(value)
		case "decision", "msg":
			line.what = value
		}
	}
	return line, decoder.Err() == nil
}
