package router

import (
	"errors"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/settings"
)

// What follows a dispatch that failed.
//
// A dispatch that provably did not run goes to the next engine and costs one of the
// account's overflow budget; if the refusal names the engine that has the chat's
// prefix, going there is free. One that may have run goes on only if the request is
// repeatable, and costs one of the retry budget, which is small: after a refusal for
// load a second engine is the normal way of a bounded load, after a failure it
// multiplies an outage. An attempt that was given up for good (a tombstone) ends the
// request, since its id is dead at that agent.
//
// How much there is of each budget is a setting (limits.overflow_per_answer,
// overflow_reserve, retry_per_answer, retry_reserve); package retry keeps the count.

// maxRounds is how many rounds of dispatches a request has: one over all candidates, and
// one more to the first of them, which admits against the mean that the saturated fleet's
// loads have raised. Without unit.
const maxRounds = 2

// A nextStep is what follows a failed dispatch, and what it costs the account.
type nextStep int

const (
	stepGiveUp   nextStep = iota
	stepFree              // dispatch to the next engine, at no cost
	stepOverflow          // dispatch to the next engine, for one of the overflow budget
	stepRetry             // dispatch to the next engine, for one of the retry budget
)

// budgets are what the accounts may spend on further dispatches, by the step that costs
// it. Each answer that is passed on whole earns some of both.
type budgets map[nextStep]*retry.Budget

func newBudgets(limits *settings.RouterLimits) budgets {
	overflow := retry.BudgetLimits{PerSuccess: limits.OverflowPerAnswer, Reserve: limits.OverflowReserve}
	retries := retry.BudgetLimits{PerSuccess: limits.RetryPerAnswer, Reserve: limits.RetryReserve}
	return budgets{stepOverflow: retry.NewBudget(overflow), stepRetry: retry.NewBudget(retries)}
}

// spend takes what a step costs from an account's budget, and reports whether the account
// had it. A step without a budget is free.
func (b budgets) spend(account ryeford.AccountID, step nextStep) bool {
	budget, ok := b[step]
	return !ok || budget.Spend(account)
}

func (b budgets) earn(account ryeford.AccountID) {
	for _, budget := range b {
		budget.Earn(account)
	}
}

// nextStepAfterFailure returns what follows a dispatch that failed with err, for a request that
// is repeatable or not.
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

// mayHaveRun reports whether a failure leaves open that the attempt ran. An unknown
// outcome stays unknown if a refusal caused it.
func mayHaveRun(err error) bool {
	_, ok := errors.AsType[*ryeford.MayHaveRunError](err)
	return ok
}

// allowsAnotherRound reports whether the first candidate gets another dispatch after so many
// rounds over all: the last refused for its load, so the fleet is saturated.
func allowsAnotherRound(last error, rounds int) bool {
	return reasonOf(last) == ryeford.ReasonOverload && rounds < maxRounds
}

// finalError returns the error that the caller gets after the last dispatch. A request
// of which an earlier dispatch may have run is never said not to have run.
func finalError(last error, mayHaveRun bool, retryAfter time.Duration) error {
	notRun, ok := errors.AsType[*ryeford.NotRunError](last)
	if !ok {
		return last
	}
	if mayHaveRun {
		// The refusal goes along as text only: errors.As must not find it.
		return &ryeford.MayHaveRunError{Reason: notRun.Reason, RetryAfter: retryAfter, Err: &EngineError{Text: last.Error()}}
	}
	return &ryeford.NotRunError{Reason: notRun.Reason, RetryAfter: retryAfter}
}
