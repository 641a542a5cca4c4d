package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestSetDeadline checks that the shorter of the caller's and the route's timeouts applies.
func TestSetDeadline(t *testing.T) {
	arrived := time.Unix(1000, 0)
	for _, row := range []struct {
		name          string
		route, caller time.Duration
		want          time.Duration
	}{
		{"the caller's timeout is shorter", 4 * time.Second, time.Second, time.Second},
		{"the route's timeout is shorter", 4 * time.Second, time.Minute, 4 * time.Second},
		{"the caller sets no timeout", 4 * time.Second, 0, 4 * time.Second},
		{"the route sets no timeout", 0, time.Minute, 30 * time.Second},
		{"neither sets one", 0, 0, 30 * time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			q := &request{
				meta:    &ryeford.RequestMeta{Timeout: row.caller},
				rule:    &ryeford.RouteRule{Timeout: row.route},
				arrived: arrived,
			}
			q.setDeadline()
			assert.Equal(t, q.deadline, arrived.Add(row.want))
		})
	}
}

// TestPickService checks that services get requests in proportion to their weights.
func TestPickService(t *testing.T) {
	split := []ryeford.WeightedService{{Service: "a", Weight: 3}, {Service: "off", Weight: 0}, {Service: "b", Weight: 1}}
	picked := make(map[string]int)
	for hash := range uint64(400) {
		picked[pickService(split, hash)]++
	}
	assert.DeepEqual(t, picked, map[string]int{"a": 300, "b": 100})
	none := []ryeford.WeightedService{{Service: "a"}, {Service: "b"}}
	assert.Equal(t, pickService(none, 7), "a", "no weights")
}

// TestSetService checks that requests that share a prompt prefix get the same service.
func TestSetService(t *testing.T) {
	rule := &ryeford.RouteRule{Split: []ryeford.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	services := func(prefix ...ryeford.PromptPart) map[string]bool {
		picked := make(map[string]bool)
		for _, id := range []ryeford.RequestID{"1", "2", "3", "4", "5", "6", "7", "8"} {
			q := &request{meta: &ryeford.RequestMeta{ID: id, Prefix: prefix}, rule: rule}
			q.setAffinity()
			q.setService()
			picked[q.service] = true
		}
		return picked
	}
	assert.Equal(t, len(services(ryeford.PromptPart{ID: 1}, ryeford.PromptPart{ID: 2})), 1)
	assert.Equal(t, len(services(ryeford.PromptPart{ID: 1})), 2, "no part is shared")
	assert.Equal(t, len(services()), 2, "no prompt")
}
