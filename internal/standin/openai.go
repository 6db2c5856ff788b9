package standin

// finishReasonLength is the finish reason of an answer that reached max_tokens.
const finishReasonLength = "length"

// completion is a completion response or one chunk of a streamed completion.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the single choice of a completion. Chat completions use Message or Delta,
// text completions Text.
type choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// delta is the increment of a streamed chat message.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// usage counts the tokens of a completion.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completionCreated is the creation time of every completion in Unix seconds. It is
// constant so that equal requests get equal answers.
const completionCreated = 1_700_000_000

// streamChunk returns the stream chunk of the token at an index. The chunk of the last
// token has the finish reason.
func streamChunk(g *generationRequest, text string, index int) completion {
	c := completion{ID: g.completionID, Object: "text_completion", Created: completionCreated, Model: g.Model}
	var part choice
	if index == g.MaxTokens-1 {
		reason := finishReasonLength
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

// fullCompletion returns the response of a request that is not streamed. A prompt token is
// counted as four bytes.
func fullCompletion(g *generationRequest, text string) completion {
	c := completion{ID: g.completionID, Object: "text_completion", Created: completionCreated, Model: g.Model}
	reason := finishReasonLength
	result := choice{FinishReason: &reason}
	if g.chat {
		c.Object = "chat.completion"
		result.Message = &Message{Role: "assistant", Content: text}
	} else {
		result.Text = &text
	}
	c.Choices = []choice{result}
	promptTokens := len(g.Prompt) / 4
	completionTokens := g.MaxTokens - g.resumeFrom
	c.Usage = &usage{PromptTokens: promptTokens, CompletionTokens: completionTokens, TotalTokens: promptTokens + completionTokens}
	return c
}
