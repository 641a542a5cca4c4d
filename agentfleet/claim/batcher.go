package claim

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// batchWindow is how long a batch is open for further writes. It is added
	// to each claim; at 2.3 claims/s a router's batches hold one row (docs/CAPACITY.md,
	// "The platform's table").
	batchWindow = 4 * time.Millisecond

	// batchSize is the largest number of writes in a batch.
	batchSize = 64

	// batchTimeout bounds a batch with all its transactions.
	batchTimeout = 3 * time.Second

	// batchQueueSize is how many writes may wait for a batch; beyond, callers wait to queue
	// theirs.
	batchQueueSize = 4096

	// maxBatches is how many batches are under way at once.
	maxBatches = 4
)

// A batcher joins the writes of several callers into one transaction. Each
// write still succeeds or fails by its own condition.
type batcher struct {
	table ryeford.Table
	queue chan *pendingWrite
}

// A pendingWrite is a write whose caller waits for its outcome.
type pendingWrite struct {
	write ryeford.Write
	done  chan outcome
}

// An outcome is how a write ended.
type outcome struct {
	version int64
	err     error
}

// write makes one write. Its error is that of ryeford.Table; the end of ctx leaves open
// whether the write takes effect once it is in the queue.
func (b *batcher) write(ctx context.Context, w ryeford.Write) (int64, error) {
	p := &pendingWrite{write: w, done: make(chan outcome, 1)}
	select {
	case b.queue <- p:
	case <-ctx.Done():
		return 0, &ryeford.UnavailableError{Service: "claims", Err: ctx.Err()}
	}
	select {
	case o := <-p.done:
		return o.version, o.err
	case <-ctx.Done():
		return 0, &ryeford.UnavailableError{Service: "claims", MayHaveApplied: true, Err: ctx.Err()}
	}
}

func (b *batcher) run(ctx context.Context) error {
	slots := make(chan struct{}, maxBatches)
	for {
		batch := b.collect(ctx)
		if batch == nil {
			return nil
		}
		slots <- struct{}{}
		go func() {
			b.commit(ctx, batch)
			<-slots
		}()
	}
}

// collect waits for a write and takes those that come within batchWait of it. Of two
// writes of one row the second fails at once, since the first decides its condition. It
// returns nil once ctx ends.
func (b *batcher) collect(ctx context.Context) []*pendingWrite {
	var batch []*pendingWrite
	select {
	case p := <-b.queue:
		batch = append(batch, p)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	for len(batch) < batchSize {
		select {
		case p := <-b.queue:
			if slices.ContainsFunc(batch, func(o *pendingWrite) bool { return o.write.Key == p.write.Key }) {
				p.done <- outcome{err: &ryeford.ConflictError{Keys: []string{p.write.Key}}}
				continue
			}
			batch = append(batch, p)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// commit makes one transaction of a batch. Writes whose condition does not hold fail,
// and the others are made again without them.
func (b *batcher) commit(ctx context.Context, batch []*pendingWrite) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	for len(batch) > 0 {
		writes := make([]ryeford.Write, len(batch))
		for i, p := range batch {
			writes[i] = p.write
		}
		version, err := b.table.Transact(ctx, writes...)
		conflict, ok := errors.AsType[*ryeford.ConflictError](err)
		if !ok {
			deliverOutcome(batch, outcome{version: version, err: err})
			return
		}
		conflicting, remaining := splitByKey(batch, conflict.Keys)
		deliverOutcome(conflicting, outcome{err: conflict})
		batch = remaining
		if len(conflicting) == 0 { // a conflict on no row of ours would come for ever
			deliverOutcome(remaining, outcome{err: err})
			return
		}
	}
}

// deliverOutcome gives the callers of writes their outcome.
func deliverOutcome(batch []*pendingWrite, o outcome) {
	for _, p := range batch {
		p.done <- o
	}
}

// splitByKey returns the writes whose keys are among keys, and the others.
func splitByKey(batch []*pendingWrite, keys []string) (matching, others []*pendingWrite) {
	for _, p := range batch {
		if slices.Contains(keys, p.write.Key) {
			matching = append(matching, p)
		} else {
			others = append(others, p)
		}
	}
	return matching, others
}
