package standin

import (
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"knapweedhoist/engine"
)

const (
	// lengthDirective, followed by a number in the last message of a prompt,
	// sets the length of the answer in tokens, before MaxTokens truncates it.
	lengthDirective = "tokens="
	// maxAnswerTokens bounds the length of an answer.
	maxAnswerTokens = 1 << 20
	// Without a directive an answer has minAnswerTokens to minAnswerTokens+answerSpread-1 tokens, before MaxTokens
	// truncates it.
	minAnswerTokens = 16
	answerSpread    = 113
)

// Answer is the text that every stand-in engine generates for a prompt. It
// depends only on the messages and MaxTokens, so that a test can detect a gap
// or a repeat in a stream that was resumed on another engine.
type Answer struct {
	seed uint64
	// Tokens is the length of the whole answer.
	Tokens int
	// Finish is the finish reason: "stop", or "length" when MaxTokens truncated the answer.
	Finish string
}

// ExpectedAnswer returns the answer to a request; it ignores Resume.
func ExpectedAnswer(request engine.Request) Answer {
	seed := promptSeed(request.Messages)
	answer := Answer{seed: seed, Tokens: untruncatedLength(request.Messages, seed), Finish: "stop"}
	if request.MaxTokens > 0 && request.MaxTokens < answer.Tokens {
		answer.Tokens = request.MaxTokens
		answer.Finish = "length"
	}
	return answer
}

// Token returns the token at an index. The token contains the index, so that a
// gap is visible in the text, and part of a hash, so that answers differ
// between prompts.
func (a Answer) Token(index int) string {
	hash := xxh3.HashStringSeed(strconv.Itoa(index), a.seed)
	buffer := make([]byte, 0, 16)
	buffer = append(buffer, ' ')
	buffer = strconv.AppendUint(buffer, hash&0xffff, 36)
	buffer = append(buffer, '.')
	return string(strconv.AppendInt(buffer, int64(index), 10))
}

// List returns all tokens in order.
func (a Answer) List() []string {
	tokens := make([]string, a.Tokens)
	for i := range tokens {
		tokens[i] = a.Token(i)
	}
	return tokens
}

// Text returns the whole answer.
func (a Answer) Text() string {
	return strings.Join(a.List(), "")
}

func promptSeed(messages []engine.Message) uint64 {
	var seed uint64
	for _, message := range messages {
		seed = xxh3.HashStringSeed(message.Role, seed)
		seed = xxh3.HashStringSeed(message.Content, seed)
	}
	return seed
}

func untruncatedLength(messages []engine.Message, seed uint64) int {
	if n := lengthFromDirective(messages); n > 0 {
		return min(n, maxAnswerTokens)
	}
	return minAnswerTokens + int(seed%answerSpread)
}

func lengthFromDirective(messages []engine.Message) int {
	if len(messages) == 0 {
		return 0
	}
	_, rest, found := strings.Cut(messages[len(messages)-1].Content, lengthDirective)
	if !found {
		return 0
	}
	end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		end = len(rest)
	}
	n, _ := strconv.Atoi(rest[:end])
	return n
}
