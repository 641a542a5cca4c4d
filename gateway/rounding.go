package gateway

import (
	"math"
	"time"
)

const (
	shownTime = 10 * time.Microsecond
	shownLoad = 100 // parts of a request
)

// roundTime returns a duration as it is logged.
func roundTime(d time.Duration) time.Duration { return d.Round(shownTime) }

// roundLoad returns a load as it is logged.
func roundLoad(load float64) float64 { return math.Round(load*shownLoad) / shownLoad }
