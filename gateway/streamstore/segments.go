package streamstore

import (
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// segmentsKept is the number of segments in which a router keeps the streams that may be taken up. The newest one is
// written anew with each group, so that fewer segments mean larger writes.
const segmentsKept = 4

// segments divides the streams of one process among segments. It is not safe for concurrent use.
type segments struct {
	current ryeford.StreamSegment
	began   time.Time // of the current segment
	last    int       // greatest number
	ended   []endedSegment
}

// An endedSegment is a segment that gets no further streams.
type endedSegment struct {
	number  int
	expires time.Time
}

// with returns the current segment with further streams, and those that it has no room for. If the segment is full or has
// lasted long enough, it begins another one first. keep is how long a segment is kept after its last write. The result
// takes effect by commit.
func (s *segments) with(now time.Time, keep time.Duration, streams []ryeford.BegunStream) (ryeford.StreamSegment, []ryeford.BegunStream) {
	if len(s.current.Streams) >= ryeford.MaxSegmentStreams || now.Sub(s.began) > keep/segmentsKept {
		s.begin(now, keep)
	}
	n := min(len(streams), ryeford.MaxSegmentStreams-len(s.current.Streams))
	segment := s.current
	segment.Streams = slices.Concat(s.current.Streams, streams[:n])
	return segment, streams[n:]
}

// commit records that the store holds a segment that with has returned.
func (s *segments) commit(segment ryeford.StreamSegment) { s.current = segment }

// begin begins a segment, with the number of one that has expired if there is one.
func (s *segments) begin(now time.Time, keep time.Duration) {
	if len(s.current.Streams) > 0 {
		s.ended = append(s.ended, endedSegment{number: s.current.Number, expires: now.Add(keep)})
		s.current.Number = s.nextNumber(now)
	}
	s.began, s.current.Streams = now, nil
}

func (s *segments) nextNumber(now time.Time) int {
	if now.After(s.ended[0].expires) {
		number := s.ended[0].number
		s.ended = s.ended[1:]
		return number
	}
	s.last++
	return s.last
}
