package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestAfterLostStream checks what follows an answer that broke off.
func TestAfterLostStream(t *testing.T) {
	for _, test := range []struct {
		name string
		lost lostStream
		want recovery
	}{
		{"connection lost, must not run twice", lostStream{}, recoverRejoin},
		{"the same, for the third time", lostStream{rejoins: maxRejoins - 1}, recoverRejoin},
		{"the same, once too often", lostStream{rejoins: maxRejoins}, recoverNot},
		{"engine lost, must not run twice", lostStream{reported: true}, recoverNot},
		{"connection lost, repeatable", lostStream{repeatable: true}, recoverElsewhere},
		{"engine lost, repeatable", lostStream{repeatable: true, reported: true}, recoverElsewhere},
		{"repeatable call, without text to go on from", lostStream{repeatable: true, call: true}, recoverNot},
		{"call that must not run twice", lostStream{call: true}, recoverRejoin},
		{"no time left", lostStream{expired: true}, recoverTooLate},
		{"no time left, repeatable", lostStream{expired: true, repeatable: true}, recoverTooLate},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, afterLostStream(test.lost), test.want)
		})
	}
}
