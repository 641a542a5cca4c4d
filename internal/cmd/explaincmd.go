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
	var lastErr error
	for _, client := range clients {
		e, err := client.Explain(ctx, all.Request)
		if err != nil {
			lastErr = err // other routers may have the request
			continue
		}
		all.Decisions = append(all.Decisions, e.Decisions...)
	}
	slices.Sort(all.Decisions)
	all.Decisions = slices.Compact(all.Decisions)
	if len(all.Decisions) == 0 {
		if lastErr != nil {
			return lastErr
		}
		return &ryeford.NotFoundError{Kind: "request", Name: id}
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(all)
	}
	_, err = fmt.Fprintln(c.Root().Writer, strings.Join(all.Decisions, "\n"))
	return err
}

// contextBefore is how long before a request's first line state changes of its router are
// also printed. It exceeds the time for which a configuration may be used at default bounds.
const contextBefore = 10 * time.Second

// maxLogLine is the length of the longest log line that can be read, in bytes.
const maxLogLine = 1 << 20

// stateChanges are the decisions and messages by which a router logs a change of its state.
var stateChanges = []string{
	"configuration", "configuration_from_peer", "configuration_news", "endpoint_report", "endpoint_rested", "endpoints", "evacuation", "readiness", "store_restored", "suspended", "dependency lost", "dependency regained",
	"started", "stopping", "stopped", "reload", "log lines dropped",
}

type logLine struct {
	time    time.Time
	vm      string
	request ryeford.RequestID
	resumes ryeford.RequestID // of a request that takes a stream up: the request that brought its first event
	event   string            // the decision, or the message
	text    string
}

// explainLogs prints the log lines of a request, and the state changes of the routers that
// handled it, from contextBefore ahead of its first line to its last line, ordered by time.
func explainLogs(out io.Writer, request ryeford.RequestID, files []string) error {
	var lines []logLine
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	found := linesFor(request, lines)
	if len(found) == 0 {
		return &ryeford.NotFoundError{Kind: "request", Name: string(request)}
	}
	_, err := fmt.Fprintln(out, strings.Join(found, "\n"))
	return err
}

// streamOf returns the requests that continued the same stream as a request, and the request itself.
func streamOf(request ryeford.RequestID, lines []logLine) map[ryeford.RequestID]bool {
	first := request
	for _, line := range lines {
		if line.request == request && line.resumes != "" {
			first = line.resumes
		}
	}
	stream := map[ryeford.RequestID]bool{request: true, first: true}
	for _, line := range lines {
		if line.resumes == first {
			stream[line.request] = true
		}
	}
	return stream
}

// linesFor selects the lines that explainLogs prints: those of the request and of all that continued its stream.
func linesFor(request ryeford.RequestID, lines []logLine) []string {
	stream := streamOf(request, lines)
	first, last := make(map[string]time.Time), make(map[string]time.Time)
	for _, line := range lines {
		if !stream[line.request] {
			continue
		}
		if _, ok := first[line.vm]; !ok {
			first[line.vm] = line.time
		}
		last[line.vm] = line.time
	}
	var found []string
	for _, line := range lines {
		from, involved := first[line.vm]
		within := involved && !line.time.Before(from.Add(-contextBefore)) && !line.time.After(last[line.vm])
		if stream[line.request] || (within && slices.Contains(stateChanges, line.event)) {
			found = append(found, line.text)
		}
	}
	return found
}

// readLog reads a log file; the name - means standard input.
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

// parseLogLine parses a line, and reports whether it has the format of newLogger. Text that
// a log collector has inserted before ts= is skipped.
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
			line.time = at
		case "vm":
			line.vm = value
		case "request":
			line.request = ryeford.RequestID(value)
		case "resumes":
			line.resumes = ryeford.RequestID(value)
		case "decision", "msg":
			line.event = value
		}
	}
	return line, decoder.Err() == nil
}
