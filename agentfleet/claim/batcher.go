package claim

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	batchWait    = 4 * time.Millisecond
	batchSize    = 64
	batchTimeout = 3 * time.Second
	batchQueue   = 4096
	batchWorkers = 4 // transactions under way at once
)

// A batcher joins the writes of several callers into one transaction. Each
// write still succeeds or fails by its own condition.
type batcher struct {
	table ryeford.Table
	queue chan *pending
}

// A pending is a write that waits.
type pending struct {
	write ryeford.Write
	done  chan outcome
}

// An outcome is how a write ended.
type outcome struct {
	version int64
	err     error
}

// newBatcher returns a batcher that writes to a table.
func newBatcher(table ryeford.Table) *batcher {
	return &batcher{table: table, queue: make(chan *pending, batchQueue)}
}

// write makes one write. After an error other than a conflict, it may have
// taken effect only if the error says so.
func (b *batcher) write(ctx context.Context, w ryeford.Write) (int64, error) {
	p := &pending{write: w, done: make(chan outcome, 1)}
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

// run writes batches until ctx ends.
func (b *batcher) run(ctx context.Context) error {
	workers := make(chan struct{}, batchWorkers)
	for {
		batch := b.collect(ctx)
		if batch == nil {
			return nil
		}
		workers <- struct{}{}
		go func() {
			b.commit(ctx, batch)
			<-workers
		}()
	}
}

// collect waits for a write and takes those that come right behind it. It
// returns nil once ctx ends.
func (b *batcher) collect(ctx context.Context) []*pending {
	var batch []*pending
	select {
	case p := <-b.queue:
		batch = append(batch, p)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(batchWait)
	defer timer.Stop()
	for len(batch) < batchSize {
		select {
		case p := <-b.queue:
			if slices.ContainsFunc(batch, func(o *pending) bool { return o.write.Key == p.write.Key }) {
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

// commit makes one transaction of a batch. Writes whose condition does not hold
// are told so, and the others are tried again without them.
func (b *batcher) commit(ctx context.Context, batch []*pending) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	for len(batch) > 0 {
		writes := make([]ryeford.Write, len(batch))
		for i, p := range batch {
			writes[i] = p.write
		}
		version, err := b.table.Transact(ctx, writes...)
		var conflict *ryeford.ConflictError
		if !errors.As(err, &conflict) {
			settle(batch, outcome{version: version, err: err})
			return
		}
		lost, rest := split(batch, conflict.Keys)
		settle(lost, outcome{err: conflict})
		batch = rest
		if len(lost) == 0 {
			settle(rest, outcome{err: err})
			return
		}
	}
}

// settle tells the callers of writes how they ended.
func settle(batch []*pending, o outcome) {
	for _, p := range batch {
		p.done <- o
	}
}

// split returns the writes whose keys are among keys, and the others.
func split(batch []*pending, keys []string) (in, out []*pending) {
	for _, p := range batch {
		if slices.Contains(keys, p.write.Key) {
			in = append(in, p)
		} else {
			out = append(out, p)
		}
	}
	return in, out
}
