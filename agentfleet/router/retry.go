package router

import (
	"errors"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/settings"
)

// What follows a failed dispatch.
//
// If the attempt provably did not run, the request goes to the next engine, at the cost
// of one unit of the account's overflow budget. A redirect to the engine that has the
// chat's prefix is free. If the attempt may have run, the request goes to the next
// engine only if it is repeatable, at the cost of one unit of the retry budget. The
// retry budget is small, because retries after failures amplify an outage, while a
// second dispatch after a refusal for load is normal. An attempt that was abandoned (a
// tombstone) ends the request, since that agent never admits its ID again.
//
// The sizes of the budgets are settings (limits.overflow_per_answer, overflow_reserve,
// retry_per_answer, retry_reserve). Package retry keeps the counts.

// maxRounds is how many rounds of dispatches a request has: one over all candidates,
// and a second dispatch to the first candidate, which then admits against the higher
// mean load of the saturated fleet.
const maxRounds = 2

// A nextStep is what follows a failed dispatch, and which budget it is charged to.
type nextStep int

const (
	stepGiveUp   nextStep = iota
	stepFree              // dispatch to the next engine, at no cost
	stepOverflow          // dispatch to the next engine, charged to the overflow budget
	stepRetry             // dispatch to the next engine, charged to the retry budget
)

// budgets are the accounts' budgets for further dispatches, by the step that is charged
// to them. Each answer that is delivered completely adds to both.
type budgets map[nextStep]*retry.Budget

func newBudgets(limits *settings.RouterLimits) budgets {
	overflow := retry.BudgetLimits{PerSuccess: limits.OverflowPerAnswer, Reserve: limits.OverflowReserve}
	retries := retry.BudgetLimits{PerSuccess: limits.RetryPerAnswer, Reserve: limits.RetryReserve}
	return budgets{stepOverflow: retry.NewBudget(overflow), stepRetry: retry.NewBudget(retries)}
}

// spend charges a step to an account's budget, and reports whether the budget covered
// it. A step without a budget is free.
func (b budgets) spend(account ryeford.AccountID, step nextStep) bool {
	budget, ok := b[step]
	return !ok || budget.Spend(account)
}

func (b budgets) earn(account ryeford.AccountID) {
	for _, budget := range b {
		budget.Earn(account)
	}
}

// nextStepAfterFailure returns what follows a dispatch that failed with err.
func nextStepAfterFailure(err error, repeatable bool) nextStep {
	if mayHaveRun(err) {
		if repeatable {
			return stepRetry
		}
		return stepGiveUp
	}
	notRun, ok := errors.AsType[*ryeford.NotRunError](err)
	switch {
	case !ok, notRun.Reason == ryeford.ReasonTombstone:
		return stepGiveUp
	case notRun.Reason == ryeford.ReasonRedirect:
		return stepFree
	}
	return stepOverflow
}

// mayHaveRun reports whether the attempt may have run despite the failure. An unknown
// outcome stays unknown if it was caused by a refusal.
func mayHaveRun(err error) bool {
	_, ok := errors.AsType[*ryeford.MayHaveRunError](err)
	return ok
}

// allowsAnotherRound reports whether the first candidate gets another dispatch after
// that many rounds. It does if the last refusal was for load, which means that the
// fleet is saturated.
func allowsAnotherRound(last error, rounds int) bool {
	return reasonOf(last) == ryeford.ReasonOverload && rounds < maxRounds
}

// finalError returns the error that the caller gets after the last dispatch. If an
// earlier dispatch may have run, the error never states that the request did not run.
func finalError(last error, mayHaveRun bool, retryAfter time.Duration) error {
	notRun, ok := errors.AsType[*ryeford.NotRunError](last)
	if !ok {
		return last
	}
	if mayHaveRun {
		// Include the refusal as text only, so that errors.As does not find it.
		return &ryeford.MayHaveRunError{Reason: notRun.Reason, RetryAfter: retryAfter, Err: &EngineError{Text: last.Error()}}
	}
	return &ryeford.NotRunError{Reason: notRun.Reason, RetryAfter: retryAfter}
}
