package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/ryeford/ryeford"
)

// defaultTokens is the number of tokens of an answer whose request sets no maximum.
const defaultTokens = 16

// Answer returns the answer that every engine stand-in gives to the messages of a chat. Each of its
// tokens contains a hash of the chat and the messages and its index, so that a caller can verify
// that an answer is complete and belongs to its request.
func Answer(chat ryeford.ChatID, messages []ryeford.Message, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(answerToken(answerTag(chat, messages), i))
	}
	return b.String()
}

// answerTag returns the prefix of all tokens of an answer, a hash of the chat and the messages.
func answerTag(chat ryeford.ChatID, messages []ryeford.Message) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(string(chat)+"\n"+promptText(messages))))
}

func answerToken(tag string, index int) string {
	return fmt.Sprintf("%s.%d ", tag, index)
}

// promptText returns the prompt that consists of messages.
func promptText(messages []ryeford.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

// countTokens returns the number of tokens of a text. Each word is one token.
func countTokens(text string) int {
	return len(strings.Fields(text))
}
