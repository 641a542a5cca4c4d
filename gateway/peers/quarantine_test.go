package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/gateway/quarantine"
)

// TestQuarantinedInMessage checks that records survive encoding and decoding, and bounds their encoded
// size.
func TestQuarantinedInMessage(t *testing.T) {
	sent := time.Unix(10_000, 0)
	ago := func(d time.Duration) time.Time { return sent.Add(-d) }
	fingerprint := quarantine.FingerprintOf("bank", "/stream/a", []byte("body"))
	without, err := cbor.Marshal(&Message{})
	assert.NilError(t, err)
	for _, test := range []struct {
		name   string
		record quarantine.Record
		bytes  int // at most
	}{
		{"a suspect", quarantine.Record{
			Fingerprint: fingerprint, Account: 1 << 31,
			Crashes: []quarantine.Crash{{Endpoint: 1 << 30, Began: ago(900 * time.Millisecond), Ended: ago(400 * time.Millisecond)}},
		}, 48},
		{"held", quarantine.Record{
			Fingerprint: fingerprint, Account: 1 << 31,
			Crashes: []quarantine.Crash{
				{Endpoint: 1 << 30, Began: ago(9 * time.Second), Ended: ago(8 * time.Second)},
				{Endpoint: 1 << 29, Began: ago(7 * time.Second), Ended: ago(6 * time.Second)},
				{Endpoint: 1 << 28, Began: ago(5 * time.Second), Ended: ago(4 * time.Second)},
			},
			HeldSince: ago(4 * time.Second), Trials: 1, LastTrial: ago(time.Second),
		}, 78},
		{"answered", quarantine.Record{Fingerprint: fingerprint, Account: 1 << 31, LastSuccess: ago(time.Second)}, 36},
	} {
		content, err := cbor.Marshal(&Message{Quarantined: EncodeRecords(sent, []quarantine.Record{test.record})})
		assert.NilError(t, err)
		var got Message
		assert.NilError(t, cbor.Unmarshal(content, &got))
		assert.DeepEqual(t, DecodeRecords(sent, got.Quarantined), []quarantine.Record{test.record})
		t.Logf("%s: %d bytes", test.name, len(content)-len(without))
		assert.Assert(t, len(content)-len(without) <= test.bytes, test.name)
	}
}

// TestTooManyQuarantined checks that entries beyond the limits of a message are dropped.
func TestTooManyQuarantined(t *testing.T) {
	many := make([]Quarantined, 1000)
	for i := range many {
		many[i].Crashes = make([]Crash, 1000)
	}
	got := DecodeRecords(time.Unix(10_000, 0), many)
	assert.Equal(t, len(got), MaxQuarantined)
	assert.Equal(t, len(got[0].Crashes), quarantine.MaxCrashes)
}

// TestEnded checks that crashes of endpoints survive encoding and decoding, that their number and size are bounded, and
// that a message without them is as it was.
func TestEnded(t *testing.T) {
	sent := time.Unix(10_000, 0)
	endings := []quarantine.Ending{{Endpoint: 1 << 31, At: sent.Add(-400 * time.Millisecond)}, {Endpoint: 7, At: sent}}
	without, err := cbor.Marshal(&Message{})
	assert.NilError(t, err)
	content, err := cbor.Marshal(&Message{Ended: EncodeEndings(sent, endings)})
	assert.NilError(t, err)
	assert.Assert(t, len(content)-len(without) <= 3+9*len(endings), "%d bytes", len(content)-len(without))
	var got Message
	assert.NilError(t, cbor.Unmarshal(content, &got))
	assert.DeepEqual(t, DecodeEndings(sent, got.Ended), endings)
	assert.Equal(t, len(DecodeEndings(sent, make([]Ended, 1000))), MaxEnded)
	content, err = cbor.Marshal(&Message{Ended: EncodeEndings(sent, nil)})
	assert.NilError(t, err)
	assert.DeepEqual(t, content, without)
}
