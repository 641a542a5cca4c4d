package agent

import (
	"time"

	"github.com/ryeford/ryeford/settings"
)

// maxResumes is how often an engine whose stream broke or stalled is asked for the
// rest of the same run. Not measured.
const maxResumes = 2

// stallLimit returns how long an engine may send nothing new before its stream is
// given up. begun reports whether a part of the answer has come. Until then the
// engine may be reading the prompt, which takes longer than a token.
//
// The gateway's limit on the first byte only looks the same: there the request goes
// to another endpoint, here the same engine is asked for the rest.
func stallLimit(limits *settings.AgentLimits, begun bool) time.Duration {
	if begun {
		return limits.BetweenTokens
	}
	return limits.FirstToken
}

// mayResume reports whether the same engine is asked for the rest of a run whose
// stream ended early: unless the run did not start, was cancelled, or was resumed
// maxResumes times before. To resume runs nothing twice, so it is allowed for
// requests that are not repeatable too.
func mayResume(failure *streamError, resumes int, cancelled bool) bool {
	return !failure.notRun && !cancelled && resumes < maxResumes
}
