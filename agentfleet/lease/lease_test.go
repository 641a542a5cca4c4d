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

// TestSuspendedHolder suspends a holder until its lease has expired and another process
// has acquired it: the late write of the old holder must fail, whether the new one has
// written or not.
func TestSuspendedHolder(t *testing.T) {
	for _, written := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			table := memtable.New(nil)
			first := New(table, "planner", "router-1", "incarnation-1", 10*time.Second)
			second := New(table, "planner", "router-2", "incarnation-2", 10*time.Second)
			expired, err := first.Acquire(ctx)
			assert.NilError(t, err)
			var held *HeldError
			_, err = second.Acquire(ctx)
			assert.Assert(t, errors.As(err, &held))

			time.Sleep(11 * time.Second) // the holder is suspended
			current, err := second.Acquire(ctx)
			assert.NilError(t, err)
			assert.Equal(t, current.Epoch, expired.Epoch+1)
			if written {
				assert.NilError(t, writePlan(ctx, table, current, "new"))
			}
			err = writePlan(ctx, table, expired, "old")
			var conflict *ryeford.ConflictError
			assert.Assert(t, errors.As(err, &conflict), "the late write was accepted")
			rows, err := table.Get(ctx, "plan")
			assert.NilError(t, err)
			assert.Assert(t, string(rows[0].Value) != "old")
		})
	}
}

// writePlan writes a plan in a transaction that renews the lease, as the planner does.
func writePlan(ctx context.Context, table ryeford.Table, grant *Grant, plan string) error {
	renewal, err := grant.Renewal()
	if err != nil {
		return err
	}
	_, err = table.Transact(ctx, renewal, ryeford.Write{Key: "plan", Value: []byte(plan), IfVersion: ryeford.AnyVersion})
	return err
}

// TestRestartedHolder checks that a new incarnation on the same VM is another holder.
func TestRestartedHolder(t *testing.T) {
	table := memtable.New(nil)
	_, err := New(table, "planner", "router-1", "incarnation-1", time.Minute).Acquire(t.Context())
	assert.NilError(t, err)
	var held *HeldError
	_, err = New(table, "planner", "router-1", "incarnation-2", time.Minute).Acquire(t.Context())
	assert.Assert(t, errors.As(err, &held))
}

// TestNextEpoch checks which process may acquire or renew a lease, and the record that
// it writes.
func TestNextEpoch(t *testing.T) {
	const ttl = 10 * time.Second
	for _, test := range []struct {
		name      string
		current   record
		remaining time.Duration // until the current record expires
		held      bool
		epoch     int64 // of the next record
	}{
		{"no earlier holder", record{}, 0, false, 1},
		{"held by this process", record{Holder: "router-1", Incarnation: "incarnation-1", Epoch: 3}, time.Second, false, 3},
		{"held by this process and expired", record{Holder: "router-1", Incarnation: "incarnation-1", Epoch: 3}, -time.Second, false, 3},
		{"held by an earlier incarnation", record{Holder: "router-1", Incarnation: "incarnation-0", Epoch: 3}, time.Second, true, 0},
		{"held by another process", record{Holder: "router-2", Incarnation: "incarnation-2", Epoch: 3}, time.Second, true, 0},
		{"held by another process and expiring now", record{Holder: "router-2", Incarnation: "incarnation-2", Epoch: 3}, 0, false, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := New(nil, "planner", "router-1", "incarnation-1", ttl)
				now := time.Now()
				if test.current.Holder != "" {
					test.current.Expires = now.Add(test.remaining)
				}
				epoch, err := l.nextEpoch(test.current, now)
				var held *HeldError
				assert.Equal(t, errors.As(err, &held), test.held)
				assert.Equal(t, epoch, test.epoch)
				if test.held {
					assert.Equal(t, held.Holder, test.current.Holder)
					return
				}
				write, err := (&Grant{Epoch: epoch, lease: l}).Renewal()
				assert.NilError(t, err)
				var next record
				assert.NilError(t, json.Unmarshal(write.Value, &next))
				assert.Assert(t, next.Expires.Equal(now.Add(ttl)))
				next.Expires = time.Time{}
				assert.DeepEqual(t, next, record{Holder: "router-1", Incarnation: "incarnation-1", Epoch: test.epoch})
			})
		})
	}
}
