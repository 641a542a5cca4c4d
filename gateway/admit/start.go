package admit

import "time"

// StartWait returns how long a request may wait for the first configuration and the
// first list of endpoints: until patience has passed since the process started. Zero or
// less means that it may not wait.
//
// When a whole fleet starts at once, all callers come back as soon as the routers listen
// again, some 30 ms before the configuration is read (commit 7ad34e2, incident
// inc-762f: 14 requests refused in the worst window before, none after). Later on, a
// router that knows nothing refuses at once, so that requests are not held through an
// outage of the store.
func StartWait(sinceStart, patience time.Duration) time.Duration {
	return patience - sinceStart
}
