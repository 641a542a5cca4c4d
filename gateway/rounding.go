package gateway

import (
	"math"
	"time"
)

const (
	// logTimeStep is to what times are rounded in the log.
	logTimeStep = 10 * time.Microsecond
	// logLoadSteps is into how many steps a request of load is divided in the log.
	logLoadSteps = 100
)

func roundTime(d time.Duration) time.Duration { return d.Round(logTimeStep) }

func roundLoad(load float64) float64 { return math.Round(load*logLoadSteps) / logLoadSteps }
