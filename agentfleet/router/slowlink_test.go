package router

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/plan"
	"github.com/ryeford/ryeford/agentfleet/tableservice"
	"github.com/ryeford/ryeford/agentfleet/template"
)

// newSlowLinkRouter returns a new router whose platform holds one template and one
// plan. Lists of rows and objects take 3 s to arrive, longer than a call of the table
// may go without progress.
func newSlowLinkRouter(t *testing.T) *Router {
	t.Helper()
	const parts, partTime = 12, 250 * time.Millisecond
	accepted, err := json.Marshal(&ryeford.Template{Account: "bank", Name: "calls", Model: "lira", Revision: 1})
	assert.NilError(t, err)
	part := strings.Repeat(" ", 32<<10)
	sendSlowly := func(w http.ResponseWriter, answer any) {
		for range parts {
			time.Sleep(partTime)
			_, _ = io.WriteString(w, part) // fails after the client has disconnected
			_ = http.NewResponseController(w).Flush()
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
	platform := http.NewServeMux()
	platform.HandleFunc(tableservice.PathGet, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(&tableservice.RowsResponse{Rows: []ryeford.Row{{Value: []byte("1"), Version: 1}}})
	})
	platform.HandleFunc(tableservice.PathList, func(w http.ResponseWriter, _ *http.Request) {
		sendSlowly(w, &tableservice.RowsResponse{Rows: []ryeford.Row{{Value: accepted, Version: 1}}})
	})
	platform.HandleFunc(tableservice.PathObjects, func(w http.ResponseWriter, _ *http.Request) {
		sendSlowly(w, &ryeford.Plan{Epoch: 1, Sequence: 1})
	})
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)

	r := newTestRouter()
	client := tableservice.New(netip.MustParseAddrPort(server.Listener.Addr().String()), "router-1")
	r.log = log.NewNopLogger()
	r.templateCache, r.plan = template.NewCache(), plan.NewTracker()
	r.platform, r.templates = client, template.NewStore(client)
	r.readiness.synced.Store(false)
	return r
}

// TestSyncOverSlowLink checks that a new router gets all templates over a slow link.
func TestSyncOverSlowLink(t *testing.T) {
	t.Parallel()
	r := newSlowLinkRouter(t)
	r.syncOnce(t.Context())
	assert.Assert(t, r.readiness.synced.Load())
	assert.Equal(t, r.templateCache.Revision(), int64(1))
}

// TestFetchPlanOverSlowLink checks that a router gets the current plan over a slow
// link.
func TestFetchPlanOverSlowLink(t *testing.T) {
	t.Parallel()
	r := newSlowLinkRouter(t)
	p := &planner{sharedState: &r.sharedState}
	assert.NilError(t, p.fetchPlan(t.Context(), planPointer{Epoch: 1, Sequence: 1, Object: "plan-1-1"}))
	assert.Assert(t, r.plan.Get() != nil)
}
