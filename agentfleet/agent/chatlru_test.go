package agent

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

func testChat(i int) wire.ChatKey {
	return wire.ChatKey{Account: "account-1234", Chat: ryeford.ChatID(fmt.Sprintf("chat-%032d", i))}
}

func TestChatLRU(t *testing.T) {
	l := newChatLRU(3)
	for i := range 5 {
		l.add(testChat(i), ryeford.Pool{Model: "lira"})
	}
	assert.Assert(t, !l.contains(testChat(1)))
	assert.Assert(t, l.contains(testChat(2)))
	chats := l.mostRecent(2)[ryeford.Pool{Model: "lira"}]
	assert.DeepEqual(t, chats, []wire.ChatKey{testChat(4), testChat(3)})
}

// BenchmarkChatLRU reports the memory per chat in a chatLRU and per overflow record.
func BenchmarkChatLRU(b *testing.B) {
	const chats = 100_000
	start := heapBytes()
	served := newBackend("endpoint-1.1", admission.Limits{}, chats)
	for i := range chats {
		served.chats.add(testChat(i), ryeford.Pool{Model: "lira"})
	}
	withChats := heapBytes()
	for i := range chats {
		served.addOverflow(time.Now(), &wire.Overflow{Chat: testChat(i), Engine: "endpoint-2.1"})
	}
	withOverflows := heapBytes()
	for i := 0; b.Loop(); i++ {
		served.chats.add(testChat(i%chats), ryeford.Pool{Model: "lira"})
	}
	b.ReportMetric(float64(withChats-start)/chats, "B/chat")
	b.ReportMetric(float64(withOverflows-withChats)/chats, "B/overflow")
	runtime.KeepAlive(served)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
