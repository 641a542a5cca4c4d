package cmd

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/ryeford/ryeford"
)

// contextBefore is how long before a request's first line the changes of its
// router's beliefs are still told.
const contextBefore = 10 * time.Second

// maxLogLine is the longest line of a log that is read.
const maxLogLine = 1 << 20

// beliefs are the decisions and messages that change what a router believes.
var beliefs = []string{
	"configuration", "endpoints", "readiness", "dependency lost", "dependency regained",
	"started", "stopping", "stopped", "reload", "log lines dropped",
}

// A logLine is one line of a router's log.
type logLine struct {
	at      time.Time
	vm      string
	request ryeford.RequestID
	what    string // its decision, or its message
	text    string
}

// explainLogs prints the story of a request from logs: its own lines, and what
// the routers that had it came to believe shortly before and meanwhile.
func explainLogs(out io.Writer, request ryeford.RequestID, files []string) error {
	var lines []logLine
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	story := storyOf(lines, request)
	if len(story) == 0 {
		return &ryeford.NotFoundError{Kind: "request", Name: string(request)}
	}
	for _, line := range story {
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return err
		}
	}
	return nil
}

// storyOf returns the lines that explain a request.
func storyOf(lines []logLine, request ryeford.RequestID) []logLine {
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
	var story []logLine
	for _, line := range lines {
		from, concerned := first[line.vm]
		within := concerned && !line.at.Before(from.Add(-contextBefore)) && !line.at.After(last[line.vm])
		if line.request == request || (within && slices.Contains(beliefs, line.what)) {
			story = append(story, line)
		}
	}
	return story
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

// parseLogLine reads a line. What a collector of logs wrote before it is passed
// over.
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
