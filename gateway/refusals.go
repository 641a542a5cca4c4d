package gateway

import (
	"time"

	"github.com/ryeford/ryeford/gateway/giveup"
)

// refusalsWindow is how long a refusal or an answer counts at least.
const refusalsWindow = 500 * time.Millisecond

// newRefusals returns the numbers of refused and answered requests of each service, which
// determine how far the Retry-After values of refused callers are spread.
func newRefusals() *slidingWindow[giveup.RecentCounts] {
	return newSlidingWindow(refusalsWindow, func(a, b giveup.RecentCounts) giveup.RecentCounts {
		return giveup.RecentCounts{Refused: a.Refused + b.Refused, Answered: a.Answered + b.Answered}
	})
}
