package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/plan"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// TestGossipWhilePulling checks that an agent processes gossip messages while it pulls
// templates from the same router.
func TestGossipWhilePulling(t *testing.T) {
	t.Parallel()
	chat := wire.ChatKey{Account: "bank", Chat: "c1"}
	revision, err := wire.Marshal(&wire.Gossip{Revision: 1}) // the agent has revision zero
	assert.NilError(t, err)
	overflow, err := wire.Marshal(&wire.Gossip{
		Revision:  1,
		Overflows: []wire.Overflow{{Home: "endpoint-1.1", Chat: chat, Engine: "endpoint-2.1"}},
	})
	assert.NilError(t, err)

	conn := dialRouter(t, slowLink, func(router *transport.Conn) {
		_ = router.SendDatagram(revision)
		router.Serve(context.Background(), func(s *transport.Stream, _ *wire.Message) {
			go func() {
				for router.SendDatagram(overflow) == nil { // the link may lose datagrams
					time.Sleep(100 * time.Millisecond)
				}
			}()
			s.Reply(&wire.Message{Delta: largeDelta()})
		})
	})
	b := newBackend("endpoint-1.1", admission.Limits{}, 10)
	a := testAgent(b)
	a.templateCache = template.NewCache()
	a.plan = plan.NewTracker()
	go a.receiveGossip(t.Context(), conn)
	for {
		_, ok := b.holder(time.Now(), &wire.Dispatch{Account: chat.Account, Chat: chat.Chat})
		assert.Equal(t, a.templateCache.Revision(), int64(0), "the message was not processed before the templates")
		if ok {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
