package streamstore

import "time"

// When a router calls the platform's store for streams.
//
// Rule: the streams that a router has begun are written in groups, an interval after the first of a group. The interval
// grows with the fleet, and the partitions of the store with it, so that the fleet's calls stay within a part of what
// the platform allows all nodes together. After a change of the versions each router reads the stored ones once, at a
// random moment.

const (
	// minInterval is the shortest time between two writes of a router.
	minInterval = 200 * time.Millisecond
	// intervalPerRouter limits the writes of the fleet: one in that time.
	intervalPerRouter = 5 * time.Millisecond
	// routersPerPartition is the number of routers that write to one partition of the store.
	routersPerPartition = 16
	// readSpread limits the reads of versions by the fleet: one in that time.
	readSpread = 5 * time.Millisecond
	// retryInterval is the time until a failed call is repeated.
	retryInterval = time.Second
	// minReload is the shortest time between two reads of a router for streams that are taken up, and reloadPerRouter what
	// it grows by with the fleet.
	minReload       = time.Second
	reloadPerRouter = 20 * time.Millisecond
)

// WriteInterval returns the time from the first stream of a group to the write of the group.
func WriteInterval(routers int) time.Duration {
	return max(minInterval, time.Duration(routers)*intervalPerRouter)
}

// Partition returns the partition for a process, given a uniform hash of it.
func Partition(routers int, process uint64) int {
	return int(process % uint64(1+routers/routersPerPartition))
}

// ReadDelay returns the time from a change of the versions to the read, given a random number from 0 to 1.
func ReadDelay(routers int, drawn float64) time.Duration {
	return time.Duration(drawn * float64(routers) * float64(readSpread))
}

// ReloadInterval returns the time for which what was read counts as current.
func ReloadInterval(routers int) time.Duration {
	return minReload + time.Duration(routers)*reloadPerRouter
}
