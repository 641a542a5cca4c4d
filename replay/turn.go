package replay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/caller"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/standin"
	"github.com/ryeford/ryeford/trace"
)

const (
	// retryPause is the pause before a turn is sent again whose failure gives no
	// Retry-After. Not measured.
	retryPause = 50 * time.Millisecond
	// resumesPerRouter times the routers is how often a broken answer is resumed:
	// a router may be lost, and the next one too. Not measured.
	resumesPerRouter = 2
)

// A chat is the state of one chat; its turns are played one after the other.
type chat struct {
	mu       sync.Mutex
	messages []ryeford.Message
	answered int
}

// play plays one turn, after the chat's earlier ones, and reports how it ended.
func (p *player) play(ctx context.Context, e *trace.Entry) {
	key := chatKey(e)
	value, _ := p.chats.LoadOrStore(key, &chat{})
	c := value.(*chat)
	c.mu.Lock()
	defer c.mu.Unlock()
	messages := append(c.messages, ryeford.Message{Role: "user", Content: prompt(e, len(c.messages))})
	t := &caller.Turn{
		Key:           p.options.Key(e.Account),
		Chat:          e.Chat,
		Model:         e.Model,
		Messages:      messages,
		MaxTokens:     e.AnswerTokens,
		NotRepeatable: e.NotRepeatable,
		Idempotency:   e.Idempotency,
		Deadline:      p.options.Deadline,
	}
	if e.Priority != nil {
		t.Priority = fmt.Sprint(*e.Priority)
	}
	answer, notRun := p.send(ctx, t)
	right := answer.Text == standin.Answer(key, messages, max(e.AnswerTokens, 1))
	p.report.addTurn(e.Account, answer, right, c.answered > 0)
	p.report.addChat(key, e.NotRepeatable, notRun)
	if answer.Complete {
		c.messages = append(messages, ryeford.Message{Role: "assistant", Content: answer.Text})
		c.answered++
	}
}

// send sends a turn until it is answered, must not be sent again, or its retries
// are spent. It returns the last answer, and whether every answer said that the turn had
// not run.
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
		if !maySendAgain(t, answer) {
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

// maySendAgain reports whether a turn may be sent again: it did not run, or it
// may run twice, or its key keeps it from running twice.
func maySendAgain(t *caller.Turn, answer *caller.Answer) bool {
	return answer.NotRun() || !t.NotRepeatable || t.Idempotency != ""
}

// resume reads the rest of an answer through other routers.
func (p *player) resume(ctx context.Context, t *caller.Turn, part *caller.Answer) *caller.Answer {
	for range resumesPerRouter * len(p.options.Routers) {
		rest, err := p.client.Resume(ctx, p.balance.router(), t.Key, part.LastEvent)
		if err != nil && rest.LastEvent == "" {
			continue // a router that is lost, or that can't resume: another one may
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

// chatKey returns the name that an engine has for an entry's chat.
func chatKey(e *trace.Entry) ryeford.ChatID {
	return ryeford.ChatID(string(e.Account) + "/" + string(e.Chat))
}

// prompt returns the text of a turn. A chat's first one begins with the words that
// all chats of the account share.
func prompt(e *trace.Entry, turn int) string {
	var b strings.Builder
	if turn == 0 {
		b.WriteString(strings.Repeat(string(e.Account)+" ", e.SharedTokens))
	}
	word := fmt.Sprintf("%s-%d-%d ", e.Chat, turn, e.AtMS)
	b.WriteString(strings.Repeat(word, max(1, e.PromptTokens)))
	return b.String()
}
