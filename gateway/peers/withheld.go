package peers

import (
	"time"

	"github.com/ryeford/ryeford"
)

// MaxWithheld is the maximum number of withheld endpoints in a message.
const MaxWithheld = 32

// SetWithheld sets the withheld endpoints and the remaining duration.
func (m *Message) SetWithheld(endpoints []ryeford.WithheldEndpoint, remaining time.Duration) {
	for _, e := range endpoints {
		m.Withheld = append(m.Withheld, Withheld{ID: e.ID, Sequence: e.Sequence, Gone: e.Gone})
	}
	if len(endpoints) > 0 {
		m.WithheldFor = AgeOf(remaining)
	}
}

// WithheldEndpoints returns the withheld endpoints and the remaining duration.
func (m *Message) WithheldEndpoints() ([]ryeford.WithheldEndpoint, time.Duration) {
	var endpoints []ryeford.WithheldEndpoint
	for _, w := range m.Withheld {
		endpoints = append(endpoints, ryeford.WithheldEndpoint{ID: w.ID, Sequence: w.Sequence, Gone: w.Gone})
	}
	return endpoints, m.WithheldFor.Duration()
}
