package gateway

import (
	"math"
	"time"
)

const (
	// logTimeStep is the unit to which durations are rounded in the log.
	logTimeStep = 10 * time.Microsecond
	// logLoadSteps is the number of steps per request to which loads are rounded in the log.
	logLoadSteps = 100
)

func roundTime(d time.Duration) time.Duration { return d.Round(logTimeStep) }

func roundLoad(load float64) float64 { return math.Round(load*logLoadSteps) / logLoadSteps }
