package gateway

import (
	"time"

	"github.com/ryeford/ryeford/gateway/giveup"
)

// refusalsWindow is how long a refusal or an answer counts at least.
const refusalsWindow = 500 * time.Millisecond

// newRefusals returns the refusals and answers of admitted requests for each service, by
// which the returns of refused callers are spread.
func newRefusals() *recent[giveup.Recent] {
	return newRecent(refusalsWindow, func(a, b giveup.Recent) giveup.Recent {
		return giveup.Recent{Refused: a.Refused + b.Refused, Answered: a.Answered + b.Answered}
	})
}
