//go:build !linux

package cmd

import (
	"errors"
	"time"
)

// processorTimeOf always fails: only Linux has CPU clocks of other processes.
func processorTimeOf(int) (time.Duration, error) { return 0, errors.ErrUnsupported }
