//go:build !linux

package cmd

import (
	"errors"
	"time"
)

// processorTimeOf fails: only Linux says what another process has used.
func processorTimeOf(int) (time.Duration, error) { return 0, errors.ErrUnsupported }
