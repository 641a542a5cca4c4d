package peers

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// BenchmarkMessage measures the size of a message with loads, and the time to encode and decode it.
func BenchmarkMessage(b *testing.B) {
	for _, loads := range []int{0, 10, 20, 60} {
		b.Run(fmt.Sprintf("loads=%d", loads), func(b *testing.B) {
			m := &Message{Sender: address(1), Started: 1_775_000_000_000_000_000, Sequence: 12345, Version: 17, Confirmed: true, ConfirmedAt: 1 << 45}
			for i := range loads {
				m.Loads = append(m.Loads, Load{Endpoint: ryeford.EndpointID(fmt.Sprintf("i-%010x", i)), Requests: 2})
			}
			size := 0
			for b.Loop() {
				content, err := cbor.Marshal(m)
				assert.NilError(b, err)
				var read Message
				assert.NilError(b, cbor.Unmarshal(content, &read))
				size = len(content)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
