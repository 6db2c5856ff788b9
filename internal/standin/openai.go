package standin

// finishLength is the finish reason of answers that reached max_tokens.
const finishLength = "length"

// chunk is a completion, or a part of one in a stream.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the only choice of a completion.
type choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// delta is the new part of a streamed chat message.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// usage counts tokens.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// created is the creation time of every completion, in seconds since 1970, so
// that equal requests have equal answers.
const created = 1_700_000_000

// chunkOf is the streamed part of the token at an index. The last token's part
// has the finish reason.
func chunkOf(g *generation, text string, index int) chunk {
	c := chunk{ID: g.id, Object: "text_completion", Created: created, Model: g.Model}
	var part choice
	if index == g.MaxTokens-1 {
		reason := finishLength
		part.FinishReason = &reason
	}
	if g.chat {
		c.Object = "chat.completion.chunk"
		part.Delta = &delta{Content: text}
		if index == 0 {
			part.Delta.Role = "assistant"
		}
	} else {
		part.Text = &text
	}
	c.Choices = []choice{part}
	return c
}

// wholeAnswer is an answer that is not streamed.
func wholeAnswer(g *generation, text string) chunk {
	c := chunk{ID: g.id, Object: "text_completion", Created: created, Model: g.Model}
	reason := finishLength
	only := choice{FinishReason: &reason}
	if g.chat {
		c.Object = "chat.completion"
		only.Message = &Message{Role: "assistant", Content: text}
	} else {
		only.Text = &text
	}
	c.Choices = []choice{only}
	prompt := len(g.Prompt) / 4
	done := g.MaxTokens - g.from
	c.Usage = &usage{PromptTokens: prompt, CompletionTokens: done, TotalTokens: prompt + done}
	return c
}
