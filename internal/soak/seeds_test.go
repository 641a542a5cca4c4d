package soak

// A keptSeed is a regression case: a seed that failed, or a representative one that never
// did.
type keptSeed struct {
	seed    uint64
	failure string // what the run reported
	cause   string
	fix     string // what fixed it, and the test that covers it
}

// keptSeeds are the regression cases of basicPlan. docs/findings.md describes them in
// detail.
var keptSeeds = []keptSeed{
	{
		seed:    1,
		failure: "never",
		cause:   "-",
		fix:     "-",
	},
	{
		seed:    430546421,
		failure: "status 503, but it ran",
		cause:   lastAttemptDecidedStatus,
		fix:     outermostErrorFix,
	},
	{
		seed:    513372928,
		failure: "status 503, but it ran",
		cause:   lastAttemptDecidedStatus,
		fix:     outermostErrorFix,
	},
	{
		seed:    235430754,
		failure: "status 503, but it ran",
		cause:   lastAttemptDecidedStatus,
		fix:     outermostErrorFix,
	},
	{
		seed:    901001575,
		failure: "a gateway exited unexpectedly, signal: hangup",
		cause:   "a process that had just started handled SIGHUP only after it had read its settings",
		fix:     "SIGHUP is handled before the settings are read; TestHangupAtStart, gateway.starting",
	},
	{
		seed:    104936069,
		failure: "check key: requests ran after their key was revoked",
		cause:   "fault of the soak: the lagging store gave a process that had just started a stale first read, which is indistinguishable from a current one",
		fix:     "the first read of a connection is never stale; injector.lagStore, TestLagging",
	},
}

// keptSeriesSeeds are the regression cases of seriesPlan. The first four draw neither
// "large" nor "slow server".
var keptSeriesSeeds = []keptSeed{
	{seed: 13, failure: "never", cause: "-", fix: "-"},
	{seed: 14, failure: "never", cause: "-", fix: "-"},
	{seed: 35, failure: "never", cause: "-", fix: "-"},
	{seed: 74, failure: "never", cause: "-", fix: "-"},
	{seed: 553275309, failure: narrowLinkFailure, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 554438094, failure: narrowLinkFailure, cause: narrowLinkCause + lateRequestCause, fix: narrowLinkFix},
}

// additionalSeriesSeeds are seeds of seriesPlan that failed for the same cause as the last
// two of keptSeriesSeeds. They run only together with fresh seeds.
var additionalSeriesSeeds = []keptSeed{
	{seed: 153096810, failure: narrowLinkFailure, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 78991790, failure: narrowLinkFailure, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 651454817, failure: narrowLinkFailure, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 85482112, failure: narrowLinkFailure, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 772035663, failure: narrowLinkFailure, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 583143164, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 323514281, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 855935344, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 855569638, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 401707369, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 576136945, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 216371430, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 735497666, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 927792296, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 145232261, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 247011307, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
	{seed: 616252444, failure: narrowLinkFailureLater, cause: narrowLinkCause, fix: narrowLinkFix},
}

// Common to the seeds that failed on a narrow link to the store.
const (
	narrowLinkFailure      = "a gateway on a narrow link did not serve again, or served by an older version"
	narrowLinkFailureLater = "the same as narrowLinkFailure"
	narrowLinkCause        = "reading a configuration of thousands of routes was limited to routing.store_timeout for the complete response"
	narrowLinkFix          = "a read continues as long as its response makes progress; TestLargeConfiguration"
)

// lateRequestCause is a second cause of seed 554438094.
const lateRequestCause = "; also, a request sent later than admitWindow after SIGTERM was admitted and interrupted; TestLateRequest"

// Common to three of the kept seeds.
const (
	lastAttemptDecidedStatus = "the last attempt of an idempotent request was refused by an endpoint or for an expired lease, " +
		"and the caller got 503 although an earlier attempt may have run"
	outermostErrorFix = "502 if any attempt may have run: statusOf uses the outermost error; TestStatusOf"
)
