package lease

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/memtable"
)

// TestPausedHolder pauses a holder for longer than its lease, between acquiring
// it and writing: another takes over, and the late write changes nothing,
// whether the new holder has written yet or not.
func TestPausedHolder(t *testing.T) {
	for _, written := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			table := memtable.New(nil)
			old := New(table, "planner", "router-1", "life-1", 10*time.Second)
			young := New(table, "planner", "router-2", "life-2", 10*time.Second)
			held, err := old.Acquire(ctx)
			assert.NilError(t, err)
			var other *HeldError
			_, err = young.Acquire(ctx)
			assert.Assert(t, errors.As(err, &other))

			time.Sleep(11 * time.Second) // the holder is paused
			taken, err := young.Acquire(ctx)
			assert.NilError(t, err)
			assert.Equal(t, taken.Epoch, held.Epoch+1)
			if written {
				assert.NilError(t, writePlan(ctx, table, taken, "new"))
			}
			err = writePlan(ctx, table, held, "old")
			var conflict *ryeford.ConflictError
			assert.Assert(t, errors.As(err, &conflict), "the late write was accepted")
			rows, err := table.Get(ctx, "plan")
			assert.NilError(t, err)
			assert.Assert(t, string(rows[0].Value) != "old")
		})
	}
}

// writePlan writes a plan under a lease, as the planner does.
func writePlan(ctx context.Context, table ryeford.Table, held *Held, plan string) error {
	renewal, err := held.Renewal()
	if err != nil {
		return err
	}
	_, err = table.Transact(ctx, renewal, ryeford.Write{Key: "plan", Value: []byte(plan), IfVersion: ryeford.AnyVersion})
	return err
}

// TestRestartedHolder checks that a new life of the same VM is another holder.
func TestRestartedHolder(t *testing.T) {
	table := memtable.New(nil)
	_, err := New(table, "planner", "router-1", "life-1", time.Minute).Acquire(t.Context())
	assert.NilError(t, err)
	var other *HeldError
	_, err = New(table, "planner", "router-1", "life-2", time.Minute).Acquire(t.Context())
	assert.Assert(t, errors.As(err, &other))
}

// TestNext checks who may take or renew a lease, and what the row then says.
func TestNext(t *testing.T) {
	const ttl = 10 * time.Second
	for _, test := range []struct {
		name    string
		current record
		left    time.Duration // until the current one expires
		held    bool
		epoch   int64 // of the next record
	}{
		{"nobody has held it", record{}, 0, false, 1},
		{"this process holds it", record{Holder: "router-1", Life: "life-1", Epoch: 3}, time.Second, false, 3},
		{"its own has expired", record{Holder: "router-1", Life: "life-1", Epoch: 3}, -time.Second, false, 3},
		{"an earlier life holds it", record{Holder: "router-1", Life: "life-0", Epoch: 3}, time.Second, true, 0},
		{"another holds it", record{Holder: "router-2", Life: "life-2", Epoch: 3}, time.Second, true, 0},
		{"another's expires now", record{Holder: "router-2", Life: "life-2", Epoch: 3}, 0, false, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := New(nil, "planner", "router-1", "life-1", ttl)
				now := time.Now()
				if test.current.Holder != "" {
					test.current.Expires = now.Add(test.left)
				}
				epoch, err := l.next(test.current, now)
				var held *HeldError
				assert.Equal(t, errors.As(err, &held), test.held)
				assert.Equal(t, epoch, test.epoch)
				if test.held {
					assert.Equal(t, held.Holder, test.current.Holder)
					return
				}
				write, err := (&Held{Epoch: epoch, lease: l}).Renewal()
				assert.NilError(t, err)
				var next record
				assert.NilError(t, json.Unmarshal(write.Value, &next))
				assert.Assert(t, next.Expires.Equal(now.Add(ttl)))
				next.Expires = time.Time{}
				assert.DeepEqual(t, next, record{Holder: "router-1", Life: "life-1", Epoch: test.epoch})
			})
		})
	}
}
