package settings

import (
	"cmp"
	"time"
)

// A gateway reads the store as rarely as the users' bounds allow. The settings that
// are zero are derived from the bounds here.
const (
	// contactMargin is the time kept for the pause and the read that follow a lost
	// long poll, between its detection and bounds.contact.
	contactMargin = 300 * time.Millisecond
	// minEndpointsWait is the shortest derived duration of a long poll. If
	// bounds.contact is small, it limits the rate of reads, and a lost one may be
	// noticed late.
	minEndpointsWait = 100 * time.Millisecond
	// The pause after a change of the list of endpoints is bounds.drain divided by
	// settleDivisor, at most maxSettle. The rest of the bound is for the read that
	// follows and for its update to reach the other routers.
	settleDivisor = 8
	maxSettle     = 500 * time.Millisecond
	// The configuration is read again at the age of bounds.configuration divided by
	// refreshDivisor, at most bounds.revoke divided by revokeDivisor. The rest of the
	// lease bridges an outage of the store.
	refreshDivisor = 2
	revokeDivisor  = 5
	// The last router of a fleet reads the configuration again at the age of bounds.configuration times
	// latestFraction, at most bounds.revoke times latestRevokeFraction.
	latestFraction       = 0.8
	latestRevokeFraction = 0.6
)

// EndpointsWait returns how long the store holds a long poll for changes of the
// list of endpoints. It is as long as possible while a lost poll is still noticed,
// after store_timeout more, and repeated within bounds.contact. The gateway limits a
// derived value further by bounds.drain.
func (s *Gateway) EndpointsWait() time.Duration {
	derived := s.Bounds.Contact - s.Routing.StoreTimeout - contactMargin
	return cmp.Or(s.Routing.EndpointsWait, max(minEndpointsWait, derived))
}

// EndpointsSettle returns how long a gateway waits after a change of the list of
// endpoints before its next read, so that one read returns several changes.
func (s *Gateway) EndpointsSettle() time.Duration {
	return cmp.Or(s.Routing.EndpointsSettle, min(maxSettle, s.Bounds.Drain/settleDivisor))
}

// StoreUnreachableAfter returns the longest time between two responses of a store that
// answers its calls: the pause after a change of the list of endpoints, the time for
// which the store holds the next read, and the timeout of its response. After that time
// without a response, the store is unreachable.
func (s *Gateway) StoreUnreachableAfter() time.Duration {
	return s.EndpointsSettle() + s.EndpointsWait() + s.Routing.StoreTimeout
}

// ConfigurationRefreshAge returns the age at which each gateway reads the last confirmed
// configuration again.
func (s *Gateway) ConfigurationRefreshAge() time.Duration {
	derived := min(s.Bounds.Configuration/refreshDivisor, s.Bounds.Revoke/revokeDivisor)
	return cmp.Or(s.Routing.LeaseRefresh, derived)
}

// ConfigurationLatestAge returns the age at which the last gateway of a fleet reads the last confirmed
// configuration again.
func (s *Gateway) ConfigurationLatestAge() time.Duration {
	return min(
		time.Duration(latestFraction*float64(s.Bounds.Configuration)),
		time.Duration(latestRevokeFraction*float64(s.Bounds.Revoke)),
	)
}
