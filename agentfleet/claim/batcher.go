package claim

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// batchWindow is how long a batch accepts further writes. It adds to the latency of
	// each claim. At a few claims a second, a batch holds one row (docs/CAPACITY.md).
	batchWindow = 4 * time.Millisecond

	// batchSize is the largest number of writes in a batch.
	batchSize = 64

	// batchTimeout limits the time for a batch with all its transactions.
	batchTimeout = 3 * time.Second

	// batchQueueSize is how many writes may wait for a batch. Callers block while the
	// queue is full.
	batchQueueSize = 4096

	// maxBatches is how many batches may be in progress at once.
	maxBatches = 4
)

// A batcher combines the writes of several callers into one transaction. Each write
// still succeeds or fails by its own condition.
type batcher struct {
	table ryeford.Table
	queue chan *pendingWrite
}

// A pendingWrite is a write whose caller waits for its outcome.
type pendingWrite struct {
	write ryeford.Write
	done  chan outcome
}

// An outcome is the result of a write.
type outcome struct {
	version int64
	err     error
}

// write performs one write. It returns the errors of ryeford.Table. If ctx ends after
// the write was queued, the write may still take effect.
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

// collect waits for a write and adds those that arrive within batchWindow. A second
// write to the same row fails immediately, since its condition depends on the result of the
// first one. It returns nil when ctx ends.
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

// commit runs one transaction for a batch. Writes whose condition does not hold fail,
// and the transaction is repeated with the others.
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
		if len(conflicting) == 0 { // the conflict names none of our rows: a retry would not end
			deliverOutcome(remaining, outcome{err: err})
			return
		}
	}
}

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
