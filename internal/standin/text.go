package standin

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Token returns the token at an index of the answer to a prompt. It depends only on its
// arguments.
func Token(model, prompt string, index int) string {
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	return tokenText(seed, index)
}

// Answer returns the answer of a number of tokens to a prompt. Tests compare received
// answers with it.
func Answer(model, prompt string, tokens int) string {
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(tokenText(seed, i))
	}
	return text.String()
}

// tokenText returns the token at an index of the answer that seed determines. Each token
// but the first begins with a space.
func tokenText(seed uint64, index int) string {
	tag := (seed + uint64(index)*0x9e3779b97f4a7c15) >> 48
	text := "tok" + strconv.Itoa(index) + "-" + strconv.FormatUint(tag, 16)
	if index == 0 {
		return text
	}
	return " " + text
}

// Message is a chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt text of a chat, from which its answer is derived.
func ChatPrompt(messages []Message) string {
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return text.String()
}

// UnmarshalJSON implements json.Unmarshaler. The content is a string or a list of text
// parts, which are concatenated.
func (m *Message) UnmarshalJSON(data []byte) error {
	var raw struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return errors.Wrap(err, "decode message")
	}
	m.Role = raw.Role
	if json.Unmarshal(raw.Content, &m.Content) == nil {
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw.Content, &parts); err != nil {
		return errors.Wrap(err, "decode content")
	}
	m.Content = ""
	for _, part := range parts {
		m.Content += part.Text
	}
	return nil
}
