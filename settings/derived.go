package settings

import (
	"cmp"
	"time"
)

// A gateway's reads of the store are as rare as the users' bounds allow: what the
// settings leave at zero is derived here.
const (
	// contactMargin is kept between the time at which a lost read for changes is
	// noticed and bounds.contact: for the pause and the read that follow it.
	contactMargin = 300 * time.Millisecond
	// minEndpointsWait is the shortest time that is derived for a read for changes to
	// be held: if bounds.contact is small, reads are rare rather than noticed in time.
	minEndpointsWait = 100 * time.Millisecond
	// settleDivisor of bounds.drain, but no more than maxSettle, is the pause after
	// a change of the list of endpoints; the rest of the bound is for the read that
	// follows and for word of it to reach the other routers.
	settleDivisor = 8
	maxSettle     = 500 * time.Millisecond
	// refreshDivisor of bounds.configuration, but no more than revokeDivisor of
	// bounds.revoke, is the age at which the configuration is read again. What is
	// left of the lease is how long an outage of the store is bridged. They give
	// 1 s at bounds of 2 s and 5 s.
	refreshDivisor = 2
	revokeDivisor  = 5
)

// WaitForEndpoints returns how long the store holds a read for changes of the list
// of endpoints: long enough that reads are rare, and so short that a lost read is
// noticed store_timeout later, and repeated, within bounds.contact.
func (s *Gateway) WaitForEndpoints() time.Duration {
	derived := s.Bounds.Contact - s.Routing.StoreTimeout - contactMargin
	return cmp.Or(s.Routing.EndpointsWait, max(minEndpointsWait, derived))
}

// SettleEndpoints returns how long a gateway waits after a change of the list of
// endpoints before it reads on.
func (s *Gateway) SettleEndpoints() time.Duration {
	return cmp.Or(s.Routing.EndpointsSettle, min(maxSettle, s.Bounds.Drain/settleDivisor))
}

// StoreSilence returns how long a gateway may hear nothing of a store that answers its
// calls: after a change of the list of endpoints it does not ask for a while, then the store
// holds the read, and then its answer may be awaited.
func (s *Gateway) StoreSilence() time.Duration {
	return s.SettleEndpoints() + s.WaitForEndpoints() + s.Routing.StoreTimeout
}

// RefreshConfiguration returns the age of the last confirmed configuration at
// which each gateway reads it again.
func (s *Gateway) RefreshConfiguration() time.Duration {
	derived := min(s.Bounds.Configuration/refreshDivisor, s.Bounds.Revoke/revokeDivisor)
	return cmp.Or(s.Routing.LeaseRefresh, derived)
}
