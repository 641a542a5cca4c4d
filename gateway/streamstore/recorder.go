// Package streamstore keeps on the platform which software versions began streams, so that streams can be taken up
// after all routers were lost. It owns what this router has still to write and what it has read, and relies on
// streamversion.History for what has to be stored.
package streamstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/streamversion"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/route"
)

const (
	// checkInterval is the interval between checks for pending calls.
	checkInterval = 100 * time.Millisecond
	// maxPending limits the streams that wait to be written. The oldest ones are dropped.
	maxPending = 20000
	// maxLoaded limits the streams that are kept from a read.
	maxLoaded = 500000
	// maxRestoreWait is how long a caller that takes up a stream waits for the store.
	maxRestoreWait = time.Second
	// keepMargin is added to the time for which a stream may be taken up.
	keepMargin = 5 * time.Second
	// causeStreams is the cause by which these calls of the store are counted.
	causeStreams = "streams"
)

// Options are the dependencies of a Recorder.
type Options struct {
	Store   ryeford.StreamStore
	VM      ryeford.VMID
	History *streamversion.History
	// Routers returns the number of live routers, this one included.
	Routers func(now time.Time) int
	// Now returns the time of the monotonic clock.
	Now     func() time.Time
	Log     log.Logger
	Metrics *telemetry.Set
}

// A Recorder writes begun streams and versions of services to the platform's store, and reads them for streams that are
// taken up. It is safe for concurrent use.
type Recorder struct {
	Options
	hash     uint64 // of this process
	versions reading
	streams  reading
	failing  atomic.Bool // the last read of the versions has failed

	mu           sync.Mutex
	pending      []streamversion.Begun
	pendingSince time.Time
	loaded       map[loadedKey]ryeford.SoftwareVersion

	// Used by Run alone.
	syncAt    time.Time // when the versions are stored; zero if nothing is to be changed
	segments  segments
	unwritten []ryeford.BegunStream // whose write has failed
	retryAt   time.Time             // of that write
	wrote     bool                  // a segment was written
}

// A loadedKey identifies a stored stream.
type loadedKey struct {
	request uint64
	owner   uint32
}

// New returns a Recorder. Its Run must be called.
func New(o Options) *Recorder {
	process := fmt.Sprintf("%016x-%016x", route.NameHash(string(o.VM)), rand.Uint64())
	r := &Recorder{Options: o, hash: route.NameHash(process)}
	r.segments.current.Process = process
	r.versions.read, r.versions.now = r.readVersions, o.Now
	r.streams.read, r.streams.now = r.readStreams, o.Now
	return r
}

// Add records a stream that has begun.
func (r *Recorder) Add(begun streamversion.Begun) {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == 0 {
		r.pendingSince = now
	}
	if len(r.pending) >= maxPending {
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, begun)
}

// Run makes the pending calls until ctx is done.
func (r *Recorder) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.storeVersions(ctx)
			r.writeStreams(ctx)
		}
	}
}

// storeVersions stores the versions that may begin streams, and removes those of which no stream is left. It also reads
// the stored ones if they may prove a service's only version.
func (r *Recorder) storeVersions(ctx context.Context) {
	now := r.Now()
	if missing, outdated := r.History.StoreChanges(now); len(missing)+len(outdated) == 0 && !r.History.LacksProof(now) {
		r.syncAt = time.Time{}
		return
	}
	delay := ReadDelay(r.Routers(now), rand.Float64())
	if r.syncAt.IsZero() {
		r.syncAt = now.Add(delay)
	}
	if now.Before(r.syncAt) {
		return
	}
	r.syncAt = now.Add(retryInterval + delay)
	if r.readVersions(ctx) != nil {
		return
	}
	missing, outdated := r.History.StoreChanges(r.Now())
	if len(missing)+len(outdated) > 0 { // no other router has made the changes
		r.changeVersions(ctx, missing, outdated)
	}
}

// changeVersions makes as many of the changes as one call may. The others follow.
func (r *Recorder) changeVersions(ctx context.Context, missing, outdated []ryeford.ServiceVersion) {
	missing = missing[:min(len(missing), ryeford.MaxVersionChanges)]
	outdated = outdated[:min(len(outdated), ryeford.MaxVersionChanges-len(missing))]
	r.Metrics.Count("ryeford_store_calls_total", causeStreams)
	err := r.Store.ChangeServiceVersions(ctx, missing, outdated)
	_ = r.Log.Log("decision", "versions_stored", "stored", len(missing), "removed", len(outdated), "err", err)
	if err == nil {
		r.History.ChangeStored(missing, outdated)
	}
}

// readVersions reads the stored versions.
func (r *Recorder) readVersions(ctx context.Context) error {
	readAt := r.Now()
	r.Metrics.Count("ryeford_store_calls_total", causeStreams)
	versions, err := r.Store.ServiceVersions(ctx)
	if failed := err != nil; r.failing.Swap(failed) != failed {
		_ = r.Log.Log("decision", "versions_read", "err", err)
	}
	if err != nil {
		return err
	}
	r.History.SetStored(r.Now(), readAt, versions)
	return nil
}

// writeStreams writes the streams that have begun, once the interval since the first of them has passed.
func (r *Recorder) writeStreams(ctx context.Context) {
	now := r.Now()
	if now.Before(r.retryAt) {
		return
	}
	routers := r.Routers(now)
	write := ryeford.SegmentWrite{Partition: Partition(routers, r.hash), Keep: r.History.Memory() + keepMargin}
	streams := append(r.unwritten, r.takeDue(now, WriteInterval(routers))...)
	for len(streams) > 0 {
		segment, rest := r.segments.with(now, write.Keep, streams)
		write.CleanUp = !r.wrote
		r.Metrics.Count("ryeford_store_calls_total", causeStreams)
		if err := r.Store.WriteSegment(ctx, &segment, write); err != nil {
			_ = r.Log.Log("decision", "streams_written", "segment", segment.Number, "streams", len(segment.Streams), "err", err)
			r.retryAt = now.Add(retryInterval)
			break
		}
		r.segments.commit(segment)
		r.wrote, streams = true, rest
	}
	r.unwritten = streams[max(0, len(streams)-maxPending):]
}

// takeDue returns the pending streams if they are due. Those that the stored versions prove are left out.
func (r *Recorder) takeDue(now time.Time, interval time.Duration) []ryeford.BegunStream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == 0 || now.Sub(r.pendingSince) < interval {
		return nil
	}
	pending := r.History.Unproven(now, r.pending)
	r.pending = nil
	streams := make([]ryeford.BegunStream, len(pending))
	for i := range pending {
		streams[i] = pending[i].Stored()
	}
	return streams
}

// Restore returns the version that began a stream, if the store holds a record. It also updates the History with the
// versions that the store holds. If record is false, it only does that, and reports whether it could.
func (r *Recorder) Restore(ctx context.Context, key streamversion.Key, record bool) (ryeford.SoftwareVersion, bool) {
	ctx, cancel := context.WithTimeout(ctx, maxRestoreWait)
	defer cancel()
	interval := ReloadInterval(r.Routers(r.Now()))
	read := r.versions.await(ctx, interval)
	if !record {
		return "", read
	}
	r.streams.await(ctx, interval)
	r.mu.Lock()
	defer r.mu.Unlock()
	software, known := r.loaded[loadedKey{request: key.Request, owner: key.Owner}]
	return software, known
}

// readStreams reads the stored streams.
func (r *Recorder) readStreams(ctx context.Context) error {
	began := r.Now()
	r.Metrics.Count("ryeford_store_calls_total", causeStreams)
	streams, err := r.Store.BegunStreams(ctx)
	_ = r.Log.Log("decision", "streams_read", "streams", len(streams), "took", r.Now().Sub(began).Round(time.Millisecond), "err", err)
	if err != nil {
		return err
	}
	loaded := make(map[loadedKey]ryeford.SoftwareVersion, min(len(streams), maxLoaded))
	for _, stream := range streams[:min(len(streams), maxLoaded)] {
		loaded[loadedKey{request: stream.Request, owner: stream.Owner}] = stream.Software
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = loaded
	return nil
}
