package ryeford

import (
	"context"
	"time"
)

// A ServiceVersion is a software version that the endpoints of a service run or ran.
type ServiceVersion struct {
	Service  uint32 // low 32 bits of the hash of the service's name
	Software SoftwareVersion
}

// A BegunStream states which software version wrote the first event of a stream.
type BegunStream struct {
	Request  uint64 // hash of the ID of the request that brought the first event
	Owner    uint32 // hash of the service and the client account
	Software SoftwareVersion
}

// MaxVersionChanges is the maximum number of versions that are stored and removed at once.
const MaxVersionChanges = 100

// MaxSegmentStreams is the maximum number of streams of a StreamSegment, which fits into one entry of the platform.
const MaxSegmentStreams = 2000

// A StreamSegment is a group of streams that one process of a router has begun.
type StreamSegment struct {
	// Process identifies the process among all of the fleet, and Number the segment among those of the process.
	Process string
	Number  int
	Streams []BegunStream
}

// A StreamStore keeps on the platform which software versions began streams, for routers that start while no other
// router is running. Package platform implements it. Its methods fail with an *UnavailableError.
type StreamStore interface {
	// ServiceVersions returns the stored versions.
	ServiceVersions(ctx context.Context) ([]ServiceVersion, error)
	// ChangeServiceVersions stores versions and removes others, at most MaxVersionChanges in all.
	ChangeServiceVersions(ctx context.Context, stored, removed []ServiceVersion) error
	// BegunStreams returns the streams of all segments that are stored and have not expired.
	BegunStreams(ctx context.Context) ([]BegunStream, error)
	// WriteSegment stores a segment in place of an earlier state of it.
	WriteSegment(ctx context.Context, segment *StreamSegment, write SegmentWrite) error
}

// A SegmentWrite states how a StreamSegment is stored.
type SegmentWrite struct {
	Partition int           // from 0
	Keep      time.Duration // after which the segment expires
	// CleanUp means that expired segments of the partition are removed as well, which costs a read.
	CleanUp bool
}
