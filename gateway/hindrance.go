package gateway

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/roster"
)

// hindrance returns why an endpoint may be sent nothing now, or nothing, by all that is known of it: the list,
// the operators' orders, its own responses, and what peers pass on of these. entry is nil if it is not known.
// It is asked for each choice, and once more right before the first byte is sent. A cold endpoint is not
// hindered: it may be sent a request at each of this router's turns.
func (b *balancer) hindrance(now time.Time, entry *roster.Entry) ryeford.Reason {
	if reason := entry.Hindrance(); reason != "" {
		return reason
	}
	if b.rests.Left(now, entry.ID) > 0 {
		return ryeford.ReasonResting
	}
	return ""
}

// A barred counts the candidates of a choice that may be sent nothing now, and would else.
type barred struct {
	evacuated int // by the operators' order
	cold      int // without a turn of this router
	resting   int // by their own wish
}

// add counts an endpoint with a hindrance, or one without that may be cold and then has a turn or not, and
// reports whether it is barred. Endpoints that leave don't count: they are candidates for their prompts alone.
func (b *barred) add(hindrance ryeford.Reason, turn bool) bool {
	switch {
	case hindrance == ryeford.ReasonLeaving:
		return false
	case hindrance == ryeford.ReasonEvacuated:
		b.evacuated++
	case hindrance == ryeford.ReasonResting:
		b.resting++
	case !turn:
		b.cold++
	default:
		return false
	}
	return true
}
