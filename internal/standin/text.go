package standin

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Token is the token at an index of the answer to a prompt.
func Token(model, prompt string, index int) string {
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	return token(seed, index)
}

// Answer is the whole answer to a prompt, so that callers can check theirs.
func Answer(model, prompt string, tokens int) string {
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(token(seed, i))
	}
	return text.String()
}

// token is the token at an index of the answer with a seed.
func token(seed uint64, index int) string {
	tag := (seed + uint64(index)*0x9e3779b97f4a7c15) >> 48
	text := "tok" + strconv.Itoa(index) + "-" + strconv.FormatUint(tag, 16)
	if index == 0 {
		return text
	}
	return " " + text
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt is the prompt text of a chat, as the answer is derived from it.
func ChatPrompt(messages []Message) string {
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return text.String()
}

// UnmarshalJSON implements json.Unmarshaler. The content is a string or a list
// of text parts.
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
