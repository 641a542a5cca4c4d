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

// An evacuations puts in force which failure domains the operators have evacuated, as this router
// or a peer has read it. It is safe for concurrent use.
type evacuations struct {
	table   evacuation.Table
	roster  *roster.Roster
	log     log.Logger
	metrics *telemetry.Set

	mu sync.Mutex // held while they are put in force
}

// newEvacuations returns evacuations of which none was read yet.
func newEvacuations(list *roster.Roster, logger log.Logger, metrics *telemetry.Set) *evacuations {
	return &evacuations{roster: list, log: logger, metrics: metrics}
}

// merge takes evacuations that were read at their revision, and from whom they came. It must come
// before the lease of the configuration is renewed by the same word.
func (e *evacuations) merge(read ryeford.Evacuations, from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	inForce, changed := e.table.Learn(now, read)
	if !changed {
		return
	}
	began, ended := e.roster.SetEvacuated(now, inForce)
	for _, domain := range began {
		e.metrics.Count("ryeford_evacuations_total", domain)
	}
	_ = e.log.Log("decision", "evacuation", "from", from, "revision", read.Revision, "began", strings.Join(began, ","), "ended", strings.Join(ended, ","))
}

// known returns the evacuations as they were read.
func (e *evacuations) known() ryeford.Evacuations { return e.table.Known() }
