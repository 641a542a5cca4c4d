package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRecovery checks what follows an answer that was interrupted.
func TestRecovery(t *testing.T) {
	for _, test := range []struct {
		name string
		lost lostStream
		want recovery
	}{
		{"connection lost, must not run twice", lostStream{}, recoverRejoin},
		{"connection lost, last rejoin", lostStream{rejoins: maxRejoins - 1}, recoverRejoin},
		{"connection lost, no rejoin left", lostStream{rejoins: maxRejoins}, recoverNone},
		{"engine lost, must not run twice", lostStream{reported: true}, recoverNone},
		{"connection lost, repeatable", lostStream{repeatable: true}, recoverOtherEngine},
		{"engine lost, repeatable", lostStream{repeatable: true, reported: true}, recoverOtherEngine},
		{"repeatable call, without text to continue from", lostStream{repeatable: true, call: true}, recoverNone},
		{"call that must not run twice", lostStream{call: true}, recoverRejoin},
		{"no time left", lostStream{expired: true}, recoverExpired},
		{"no time left, repeatable", lostStream{expired: true, repeatable: true}, recoverExpired},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, recoveryFor(test.lost), test.want)
		})
	}
}
