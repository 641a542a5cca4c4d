package gateway

import (
	"strings"
	"sync"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/evacuation"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// An evacuations applies the operators' orders to evacuate failure domains, as read by this router or
// received from a peer. It is safe for concurrent use.
type evacuations struct {
	table   evacuation.Table
	roster  *roster.Roster
	log     log.Logger
	metrics *telemetry.Set

	mu sync.Mutex // held while orders are applied
}

// newEvacuations returns an evacuations without any orders.
func newEvacuations(list *roster.Roster, logger log.Logger, metrics *telemetry.Set) *evacuations {
	return &evacuations{roster: list, log: logger, metrics: metrics}
}

// merge merges evacuations from an answer of the source or a message of a peer; from names the sender.
// It must be called before the same answer or message renews the lease of the configuration.
func (e *evacuations) merge(read ryeford.Evacuations, from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	inForce, changed := e.table.Merge(now, read)
	if !changed {
		return
	}
	began, ended := e.roster.SetEvacuated(now, inForce)
	for _, domain := range began {
		e.metrics.Count("ryeford_evacuations_total", domain)
	}
	_ = e.log.Log("decision", "evacuation", "from", from, "revision", read.Revision, "began", strings.Join(began, ","), "ended", strings.Join(ended, ","))
}

// lastRead returns the newest evacuations that were read.
func (e *evacuations) lastRead() ryeford.Evacuations { return e.table.LastRead() }
