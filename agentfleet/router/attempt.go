package router

import (
	"time"

	"github.com/google/uuid"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/settings"
)

// forgetAfter is how long an agent must remember an attempt without a claim, which is
// asked about for rejoinTime at most. Not measured: above the dispatch time and
// rejoinTime together.
const forgetAfter = 30 * time.Second

// An attempt is what an agent admits at most once. One with a claim may be dispatched to
// several agents, one after the other.
type attempt struct {
	id      ryeford.AttemptID
	expires time.Time // until when it may be admitted
	forget  time.Time // until when the agent that admitted it remembers it
}

// newAttempt names a new attempt, which may be admitted for limits.dispatch from now. One
// with a claim is remembered for limits.claim_ttl, so long as its caller may come again.
func newAttempt(now time.Time, limits *settings.RouterLimits, claimed bool) attempt {
	remember := forgetAfter
	if claimed {
		remember = limits.ClaimTTL
	}
	return attempt{
		id:      ryeford.AttemptID(uuid.NewString()),
		expires: now.Add(limits.Dispatch),
		forget:  now.Add(remember),
	}
}
