// Package replay replays a trace against a running fleet with agents and reports the results of
// its turns.
//
// It contains the player (replay.go), a load balancer (balancer.go), the report (report.go) and
// its comparison with the runs that the engines recorded (runs.go). It verifies answers against
// those of package standin, so that answers of real engines count as wrong.
package replay

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/caller"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/operator"
	"github.com/ryeford/ryeford/standin"
	"github.com/ryeford/ryeford/trace"
)

const (
	// retryPause is the pause before a turn is retried whose failure has no Retry-After.
	retryPause = 50 * time.Millisecond
	// resumesPerRouter times the number of routers is the maximum number of attempts to resume a
	// truncated answer. More than one router may fail in succession.
	resumesPerRouter = 2
)

// Options configure a replay.
type Options struct {
	Routers   []netip.AddrPort   // the addresses for callers
	Operators []*operator.Client // only the first one is used
	// Key returns the key of a client account.
	Key func(account ryeford.AccountID) string
	// SetFault sets a fault in the stand-in with a name. If it is nil, a trace with faults fails.
	SetFault func(ctx context.Context, target string, fault []byte) error
	// Speed is the number of seconds of the trace that are replayed per second.
	Speed float64
	// Retries is the maximum number of retries of a failed turn that may be repeated.
	Retries int
	// Deadline limits the time of each turn. Zero uses the router's default.
	Deadline time.Duration
	// Runs, if it is set, returns the runs of each engine. The report then includes whether
	// refused turns have run, and the distribution of the load.
	Runs func(ctx context.Context) ([][]standin.RunRecord, error)
	// Progress, if it is set, is called every second with the number of finished turns and of
	// all turns.
	Progress func(done, total int)
}

type player struct {
	options *Options
	client  *caller.Client
	report  *Report
	balance *balancer
	chats   sync.Map // from chatKey to *chat
}

// Run replays a trace to its end. It returns the error of ctx, an *ActionError, or the error of
// Options.Runs. Failed turns are not errors: the report counts them.
func Run(ctx context.Context, entries []trace.Entry, o *Options) (*Report, error) {
	p := &player{
		options: o,
		client:  caller.New(),
		report:  newReport(entries),
	}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	p.balance = newBalancer(playing, o.Routers)
	if o.Progress != nil {
		go p.showProgress(playing)
	}
	began := time.Now()
	if err := p.playAll(ctx, entries, began); err != nil {
		return nil, err
	}
	p.report.Took = time.Since(began)
	if o.Runs == nil {
		return p.report, nil
	}
	runs, err := o.Runs(ctx)
	if err != nil {
		return nil, err
	}
	p.report.addRuns(runs, began)
	return p.report, nil
}

// playAll plays each entry at its time and returns when all turns have finished.
func (p *player) playAll(ctx context.Context, entries []trace.Entry, began time.Time) error {
	var turns sync.WaitGroup
	defer turns.Wait()
	for i := range entries {
		e := &entries[i]
		if e.Kind == trace.KindOutcome {
			continue
		}
		due := began.Add(time.Duration(float64(e.AtMS) / p.options.Speed * float64(time.Millisecond)))
		if !clock.Sleep(ctx, time.Until(due)) {
			return ctx.Err()
		}
		if e.Kind == trace.KindTurn {
			turns.Go(func() { p.play(ctx, e) })
			continue
		}
		if err := p.act(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// showProgress calls Progress every second until ctx is done.
func (p *player) showProgress(ctx context.Context) {
	for clock.Sleep(ctx, time.Second) {
		p.options.Progress(p.report.done(), p.report.Turns)
	}
}

// An ActionError reports that an entry other than a turn could not be played.
type ActionError struct {
	Kind trace.Kind
	Err  error
}

func (e *ActionError) Error() string { return fmt.Sprintf("%s: %v", e.Kind, e.Err) }

func (e *ActionError) Unwrap() error { return e.Err }

// act plays an entry that isn't a turn: a fault, a publish or a planned stop. The error is an
// *ActionError.
func (p *player) act(ctx context.Context, e *trace.Entry) error {
	var err error
	switch {
	case e.Kind == trace.KindFault && p.options.SetFault != nil:
		err = p.options.SetFault(ctx, e.Target, e.Fault)
	case e.Kind == trace.KindPublish && len(p.options.Operators) > 0:
		_, err = p.options.Operators[0].Publish(ctx, e.Template)
	case e.Kind == trace.KindStopVM && len(p.options.Operators) > 0:
		_, err = p.options.Operators[0].StopVM(ctx, e.VM)
	default:
		err = &trace.EntryError{Problem: "not supported when replaying against this fleet"}
	}
	if err != nil {
		return &ActionError{Kind: e.Kind, Err: err}
	}
	return nil
}

// A chat is the state of one chat. mu serializes its turns.
type chat struct {
	mu       sync.Mutex
	messages []ryeford.Message
	answered int
}

// play plays one turn after the chat's earlier ones have finished, and records its result.
func (p *player) play(ctx context.Context, e *trace.Entry) {
	key := chatKey(e)
	value, _ := p.chats.LoadOrStore(key, &chat{})
	c := value.(*chat)
	c.mu.Lock()
	defer c.mu.Unlock()
	messages := append(c.messages, ryeford.Message{Role: "user", Content: prompt(e, len(c.messages))})
	t := &caller.Turn{
		Key:            p.options.Key(e.Account),
		Chat:           e.Chat,
		Model:          e.Model,
		Messages:       messages,
		MaxTokens:      e.AnswerTokens,
		NotRepeatable:  e.NotRepeatable,
		IdempotencyKey: e.IdempotencyKey,
		Deadline:       p.options.Deadline,
	}
	if e.Priority != nil {
		t.Priority = fmt.Sprint(*e.Priority)
	}
	answer, notRun := p.send(ctx, t)
	correct := answer.Text == standin.Answer(key, messages, max(e.AnswerTokens, 1))
	p.report.addTurn(e.Account, answer, correct, c.answered > 0)
	p.report.addChat(key, e.NotRepeatable, notRun)
	if answer.Complete {
		c.messages = append(messages, ryeford.Message{Role: "assistant", Content: answer.Text})
		c.answered++
	}
}

// send sends a turn until it is answered, may not be retried, or has used up its retries. It
// returns the last answer, and whether every answer stated that the turn had not run.
func (p *player) send(ctx context.Context, t *caller.Turn) (answer *caller.Answer, notRun bool) {
	notRun = true
	for range p.options.Retries + 1 {
		var err error
		answer, err = p.client.Complete(ctx, p.balance.router(), t)
		if err != nil && answer.LastEvent != "" {
			answer = p.resume(ctx, t, answer)
		}
		notRun = notRun && answer.NotRun()
		if answer.Complete || ctx.Err() != nil {
			return answer, notRun
		}
		p.report.addFailedAttempt(answer)
		if !mayRetry(t, answer) {
			return answer, notRun
		}
		wait := retryPause
		if answer.Failure != nil && answer.Failure.RetryAfter > 0 {
			wait = time.Duration(answer.Failure.RetryAfter) * time.Millisecond
		}
		if !clock.Sleep(ctx, wait) {
			return answer, notRun
		}
	}
	return answer, notRun
}

// mayRetry reports whether a turn may be sent again: it did not run, it may run more than once,
// or its idempotency key prevents a second run.
func mayRetry(t *caller.Turn, answer *caller.Answer) bool {
	return answer.NotRun() || !t.NotRepeatable || t.IdempotencyKey != ""
}

// resume reads the rest of a truncated answer through other routers. It returns the answer with
// all parts that were received until it ended or resume gave up.
func (p *player) resume(ctx context.Context, t *caller.Turn, part *caller.Answer) *caller.Answer {
	for range resumesPerRouter * len(p.options.Routers) {
		rest, err := p.client.Resume(ctx, p.balance.router(), t.Key, part.LastEvent)
		if err != nil && rest.LastEvent == "" {
			continue // this router is down or can't resume; try the next one
		}
		rest.Text = part.Text + rest.Text
		rest.FirstToken = part.FirstToken
		rest.Between = append(part.Between, rest.Between...)
		p.report.addResumed()
		if err == nil {
			return rest
		}
		part = rest
	}
	return part
}

// chatKey returns the ID by which engines identify an entry's chat.
func chatKey(e *trace.Entry) ryeford.ChatID {
	return ryeford.ChatID(string(e.Account) + "/" + string(e.Chat))
}

// prompt returns the text of a turn. A chat's first prompt begins with words that all chats of
// the account share.
func prompt(e *trace.Entry, turn int) string {
	var b strings.Builder
	if turn == 0 {
		b.WriteString(strings.Repeat(string(e.Account)+" ", e.SharedTokens))
	}
	word := fmt.Sprintf("%s-%d-%d ", e.Chat, turn, e.AtMS)
	b.WriteString(strings.Repeat(word, max(1, e.PromptTokens)))
	return b.String()
}
