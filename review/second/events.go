//go:build review

package main

import "strings"

// An event is an event of a stream, as a caller reads it.
type event struct {
	id, data string
}

// parseEvents reads a stream of server-sent events: an empty line ends an event, and what follows the
// last empty line is no event.
func parseEvents(body string) []event {
	var events []event
	var current event
	var data []string
	for len(body) > 0 {
		line, rest, ended := strings.Cut(body, "\n")
		if !ended {
			break
		}
		body = rest
		field, value, _ := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "":
			if len(data) > 0 {
				current.data = strings.Join(data, "\n")
				events = append(events, current)
			}
			current, data = event{}, nil
		case "id":
			current.id = value
		case "data":
			data = append(data, value)
		}
	}
	return events
}
