package gateway

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/clock"
)

// exclusionReason returns why an endpoint may be sent nothing now, or "" if it isn't excluded. It considers the
// endpoint list, evacuations, the endpoint's status reports, and those that peers pass on. entry is nil for an
// unknown endpoint. The reason is checked for each choice and again immediately before the first byte is sent.
// A cold endpoint is not excluded: it may be sent a request in each time slot of this router.
func (b *balancer) exclusionReason(now time.Time, entry *roster.Entry) ryeford.Reason {
	if reason := entry.ExclusionReason(); reason != "" {
		return reason
	}
	if b.backoffs.Remaining(now, entry.ID) > 0 {
		return ryeford.ReasonBackingOff
	}
	return ""
}

// softwareOf returns the software version that an endpoint runs now. It is unknown if the endpoint was unreachable and
// may have started again under the same ID, with an entry that the list doesn't hold yet.
func (b *balancer) softwareOf(entry *roster.Entry) ryeford.SoftwareVersion {
	_, reusesID := entry.ID.Started()
	if since := b.detector.ReachableSince(entry.ID); reusesID && !since.IsZero() && !b.versions.HoldsStart(since) {
		return ""
	}
	return entry.Software
}

// recordCrashed records that an endpoint's process has ended: no process accepts its connections, and another one may
// do so soon.
func (b *balancer) recordCrashed(to *roster.Entry) {
	b.detector.Eject(clock.Now(), to.ID, outlier.UnreachableEjection)
}

// An exclusionCounts counts the candidates of a choice that are excluded now, by reason.
type exclusionCounts struct {
	evacuated  int // by an operator's evacuation order
	cold       int // cold, and this router has no free time slot
	backingOff int // asked for no requests for a time
	// otherVersion counts those that run another software version than the one that began the stream.
	otherVersion int
}

// add counts an endpoint with an exclusion reason, or a cold one without a free time slot, and reports whether it
// is excluded. Endpoints that are leaving are not counted: they are candidates only as sources of cached prompts.
func (c *exclusionCounts) add(reason ryeford.Reason, hasTimeSlot bool) bool {
	switch {
	case reason == ryeford.ReasonLeaving:
		return false
	case reason == ryeford.ReasonEvacuated:
		c.evacuated++
	case reason == ryeford.ReasonBackingOff:
		c.backingOff++
	case !hasTimeSlot:
		c.cold++
	default:
		return false
	}
	return true
}
