package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/ryeford/ryeford"
)

// defaultTokens is how many tokens an answer has if its request does not say.
const defaultTokens = 16

// Answer returns the answer that every engine stand-in gives to the messages
// of a chat. It names the chat and the messages, so that a caller can tell
// whether an answer is whole and its own.
func Answer(chat ryeford.ChatID, messages []ryeford.Message, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(answerToken(answerTag(chat, messages), i))
	}
	return b.String()
}

// answerTag returns what all tokens of an answer begin with.
func answerTag(chat ryeford.ChatID, messages []ryeford.Message) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(string(chat)+"\n"+promptText(messages))))
}

func answerToken(tag string, index int) string {
	return fmt.Sprintf("%s.%d ", tag, index)
}

// promptText returns the text that messages make as a prompt.
func promptText(messages []ryeford.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

// countTokens returns the number of tokens of a text: its words.
func countTokens(text string) int {
	return len(strings.Fields(text))
}
